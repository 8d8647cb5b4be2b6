//! What a caller asks for, as its method and path say.

#[cfg(test)]
mod tests;

use http::Method;
use sesamecart_vocabulary::ServiceId;

use crate::traffic::answer::Refusal;

/// The longest path that is passed on to a plain service, in bytes.
const MAX_PATH_BYTES: usize = 8 * 1024;

/// What a caller asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Call {
    /// `/v1/chat/completions` or `/v1/completions`.
    Completion,
    /// `/v1/models`.
    Models,
    /// `/services/{service}/...`.
    Service {
        /// The plain service.
        service: ServiceId,
        /// The path and query to pass on.
        path: String,
    },
    /// `/healthz`: the process runs.
    Health,
    /// `/readyz`: the balancer may send callers.
    Ready,
    /// `/metrics`.
    Metrics,
}

impl Call {
    /// Reads a method and a path with its query.
    pub(crate) fn read(method: &Method, path: &str, query: Option<&str>) -> Result<Self, Refusal> {
        let only = |wanted: &Method, call| {
            if method == wanted {
                Ok(call)
            } else {
                Err(Refusal::Method)
            }
        };
        match path {
            "/v1/chat/completions" | "/v1/completions" => only(&Method::POST, Self::Completion),
            "/v1/models" => only(&Method::GET, Self::Models),
            "/healthz" => only(&Method::GET, Self::Health),
            "/readyz" => only(&Method::GET, Self::Ready),
            "/metrics" => only(&Method::GET, Self::Metrics),
            _ => Self::read_service(path, query),
        }
    }

    fn read_service(path: &str, query: Option<&str>) -> Result<Self, Refusal> {
        let rest = path
            .strip_prefix("/services/")
            .ok_or(Refusal::UnknownPath)?;
        if path.len() + query.map_or(0, str::len) > MAX_PATH_BYTES {
            return Err(Refusal::BadRequest("the path is too long".to_owned()));
        }
        let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
        let service = name
            .parse()
            .map_err(|_| Refusal::UnknownService(name.to_owned()))?;
        let query = query.map(|query| format!("?{query}")).unwrap_or_default();
        Ok(Self::Service {
            service,
            path: format!("/{rest}{query}"),
        })
    }
}
