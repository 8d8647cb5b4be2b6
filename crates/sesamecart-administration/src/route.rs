//! Routing of requests by method and path.

use derive_more::Display;
use http::Method;
use sesamecart_config::Role;
use sesamecart_vocabulary::PublishId;

/// The operation that a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// Reads the state of the nodes and the drains in force.
    Status,
    /// Reads the configuration in force.
    Configuration,
    /// Publishes a configuration.
    Publish,
    /// Validates a configuration and lists what publishing it would change.
    Check,
    /// Begins or ends a drain.
    Drain,
    /// Reads the outcome of a change.
    Change(PublishId),
    /// Lists the serving groups.
    Groups,
    /// Lists the leases of the shards.
    Leases,
    /// Reads the newest entries of the audit trail.
    Audit,
    /// Reads the OpenAPI description.
    OpenApi,
}

/// The reason why no route matches a request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RouteError {
    /// The path does not exist.
    #[display("there is nothing at this path; docs/openapi.json lists the paths")]
    Path,
    /// The path exists but does not support the method.
    #[display("this path does not take this method")]
    Method,
}

impl Route {
    /// Returns the route that matches a request's method and path.
    ///
    /// # Errors
    ///
    /// Returns [`RouteError::Path`] for an unknown path and [`RouteError::Method`] for a method that
    /// the path does not support.
    pub fn find(method: &Method, path: &str) -> Result<Self, RouteError> {
        let path = path.strip_prefix("/v1/").ok_or(RouteError::Path)?;
        if let Some(id) = path.strip_prefix("changes/") {
            let id = id.parse().map_err(|_| RouteError::Path)?;
            return require_method(method, &Method::GET, Self::Change(id));
        }
        match path {
            "status" => require_method(method, &Method::GET, Self::Status),
            "configuration" if *method == Method::POST => Ok(Self::Publish),
            "configuration" => require_method(method, &Method::GET, Self::Configuration),
            "configuration/check" => require_method(method, &Method::POST, Self::Check),
            "drains" => require_method(method, &Method::POST, Self::Drain),
            "groups" => require_method(method, &Method::GET, Self::Groups),
            "leases" => require_method(method, &Method::GET, Self::Leases),
            "audit" => require_method(method, &Method::GET, Self::Audit),
            "openapi.json" => require_method(method, &Method::GET, Self::OpenApi),
            _ => Err(RouteError::Path),
        }
    }

    /// Returns the lowest role that is allowed to use the route.
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

fn require_method(method: &Method, allowed: &Method, route: Route) -> Result<Route, RouteError> {
    if method == allowed {
        Ok(route)
    } else {
        Err(RouteError::Method)
    }
}
