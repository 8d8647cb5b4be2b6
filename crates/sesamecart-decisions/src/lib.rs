//! Decisions under load: admission, allowance, routing and retries as pure functions.
