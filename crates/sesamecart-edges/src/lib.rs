//! The process's edges: HTTP servers and clients, platform adapters, TLS.
