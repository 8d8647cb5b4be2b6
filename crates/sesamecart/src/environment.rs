//! What the process finds in its environment.

/// Where the nodes are and who asks.
///
/// The token comes from the environment only: arguments show in the list of processes and in the
/// shell's history.
#[derive(Clone, Default)]
pub struct Environment {
    /// The addresses of nodes' administration APIs, apart by commas.
    pub servers: String,
    /// The operator's bearer token.
    pub token: String,
}

impl std::fmt::Debug for Environment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Environment")
            .field("servers", &self.servers)
            .finish_non_exhaustive()
    }
}

impl Environment {
    /// Reads `SESAMECART_SERVER` and `SESAMECART_TOKEN`.
    #[must_use]
    pub fn of_process() -> Self {
        let read = |name| std::env::var(name).unwrap_or_default();
        Self {
            servers: read("SESAMECART_SERVER"),
            token: read("SESAMECART_TOKEN"),
        }
    }
}
