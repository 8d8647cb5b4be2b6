//! Actions that run at most once and answers that are whole, through real nodes.

mod actions;
mod crashes;
mod setup;
mod statuses;
mod streams;
