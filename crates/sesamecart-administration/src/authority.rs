//! Authentication of operators by bearer token, and authorization by role.

use derive_more::Display;
use sesamecart_config::{AdministrationAccess, Operator, Role};
use sesamecart_vocabulary::KeyHash;

/// Maximum length of a bearer token. A longer one is treated as unknown without being hashed.
const MAX_TOKEN_BYTES: usize = 512;

/// The reason why a request is denied.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Denial {
    /// The token is missing or unknown.
    #[display("the bearer token is missing or not known; set SESAMECART_TOKEN")]
    Unauthenticated,
    /// The operator's role is too low for the operation.
    #[display("{operator} has the role {has}, but this needs the role {needs}")]
    Role {
        /// The operator's name.
        operator: String,
        /// The operator's role.
        has: Role,
        /// The lowest role that is allowed to perform the operation.
        needs: Role,
    },
}

/// Authenticates and authorizes requests against the operators in the settings.
#[derive(Clone, Debug)]
pub struct Authority {
    operators: Vec<Operator>,
}

impl Authority {
    /// Creates an authority with the operators of the settings.
    #[must_use]
    pub fn new(access: &AdministrationAccess) -> Self {
        Self {
            operators: access.operators.clone(),
        }
    }

    /// Returns the operator that an `Authorization` header identifies, after checking the role.
    ///
    /// The hash is compared with that of every operator, each time in constant time. Otherwise an
    /// attacker could learn from response times which tokens nearly match.
    ///
    /// # Errors
    ///
    /// Returns a denial if the token is missing or unknown, or if the operator's role is too low.
    pub fn admit(&self, header: Option<&str>, needs: Role) -> Result<&Operator, Denial> {
        let token = header.and_then(bearer_token);
        let token = token.filter(|token| token.len() <= MAX_TOKEN_BYTES);
        let hash = KeyHash::of(token.unwrap_or_default().as_bytes());
        let mut found = None;
        for operator in &self.operators {
            if operator.token.matches(&hash) {
                found = Some(operator);
            }
        }
        let operator = found
            .filter(|_| token.is_some())
            .ok_or(Denial::Unauthenticated)?;
        if operator.role < needs {
            return Err(Denial::Role {
                operator: operator.name.clone(),
                has: operator.role,
                needs,
            });
        }
        Ok(operator)
    }
}

fn bearer_token(header: &str) -> Option<&str> {
    let (scheme, token) = header.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}
