//! The API's paths.

use derive_more::Display;
use http::Method;
use sesamecart_config::Role;
use sesamecart_vocabulary::PublishId;

/// What a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// How the nodes are.
    Status,
    /// The configuration in force.
    Configuration,
    /// A new configuration.
    Publish,
    /// What a new configuration would change.
    Check,
    /// A drain or its end.
    Drain,
    /// What became of a change.
    Change(PublishId),
    /// The serving groups.
    Groups,
    /// The leases.
    Leases,
    /// The audit trail.
    Audit,
    /// The API's description.
    OpenApi,
}

/// Why no route was found.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RouteError {
    /// Nothing is at this path.
    #[display("there is nothing at this path; docs/openapi.json lists the paths")]
    Path,
    /// The path doesn't take this method.
    #[display("this path does not take this method")]
    Method,
}

impl Route {
    /// Finds the route of a request.
    ///
    /// # Errors
    ///
    /// Returns an error that tells a wrong path from a wrong method.
    pub fn find(method: &Method, path: &str) -> Result<Self, RouteError> {
        let path = path.strip_prefix("/v1/").ok_or(RouteError::Path)?;
        if let Some(id) = path.strip_prefix("changes/") {
            let id = id.parse().map_err(|_| RouteError::Path)?;
            return take(method, &Method::GET, Self::Change(id));
        }
        match path {
            "status" => take(method, &Method::GET, Self::Status),
            "configuration" if *method == Method::POST => Ok(Self::Publish),
            "configuration" => take(method, &Method::GET, Self::Configuration),
            "configuration/check" => take(method, &Method::POST, Self::Check),
            "drains" => take(method, &Method::POST, Self::Drain),
            "groups" => take(method, &Method::GET, Self::Groups),
            "leases" => take(method, &Method::GET, Self::Leases),
            "audit" => take(method, &Method::GET, Self::Audit),
            "openapi.json" => take(method, &Method::GET, Self::OpenApi),
            _ => Err(RouteError::Path),
        }
    }

    /// Returns the lowest role that may ask for it.
    #[must_use]
    pub const fn needs(&self) -> Role {
        match self {
            Self::Publish => Role::Operator,
            Self::Drain => Role::OnCall,
            Self::Status
            | Self::Configuration
            | Self::Check
            | Self::Change(_)
            | Self::Groups
            | Self::Leases
            | Self::Audit
            | Self::OpenApi => Role::Viewer,
        }
    }
}

fn take(method: &Method, wanted: &Method, route: Route) -> Result<Route, RouteError> {
    if method == wanted {
        Ok(route)
    } else {
        Err(RouteError::Method)
    }
}
