//! The sesamecart node: a control thread and traffic threads between callers and endpoints.
