//! Who a request comes from, and whether it may do what it asks.

use derive_more::Display;
use sesamecart_config::{AdministrationAccess, Operator, Role};
use sesamecart_vocabulary::KeyHash;

/// The longest token that is looked at, in bytes.
const MAX_TOKEN_BYTES: usize = 512;

/// Why a request is denied.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Denial {
    /// The token is missing or unknown.
    #[display("the bearer token is missing or not known; set SESAMECART_TOKEN")]
    Unauthenticated,
    /// The operator's role may not do this.
    #[display("{operator} has the role {has}, but this needs the role {needs}")]
    Role {
        /// The operator's name.
        operator: String,
        /// The role that it has.
        has: Role,
        /// The role that it would need.
        needs: Role,
    },
}

/// Decides who may do what, from the settings.
#[derive(Clone, Debug)]
pub struct Authority {
    operators: Vec<Operator>,
}

impl Authority {
    /// Takes the operators from the settings.
    #[must_use]
    pub fn new(access: &AdministrationAccess) -> Self {
        Self {
            operators: access.operators.clone(),
        }
    }

    /// Finds the operator of an `Authorization` header and checks the role.
    ///
    /// Every operator's hash is compared, each without telling by the time taken where it differs.
    /// An attacker who measures answers would otherwise learn which tokens come close.
    ///
    /// # Errors
    ///
    /// Returns a denial for an unknown token or a role that is too low.
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
