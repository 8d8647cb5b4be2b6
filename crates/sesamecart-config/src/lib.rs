//! The day's configuration, the node's settings and the planners' sheet, checked before use.

mod access;
mod change;
mod check;
mod configuration;
mod diff;
mod inventory;
mod problem;
mod settings;
mod sheet;
#[cfg(test)]
mod tests;
mod tls;

pub use access::{AdministrationAccess, Operator, Role};
pub use change::ChangeRules;
pub use configuration::{
    Configuration, Customer, Endpoint, EndpointKind, FailureDomain, Group, Limits, Model, Service,
    Vm,
};
pub use diff::Change;
pub use inventory::Inventory;
pub use problem::{Cell, Fault, Field, Place, Problem, ProblemReport, Subject};
pub use settings::{CallerBounds, LinkPeer, LogSettings, Settings, SettingsError};
pub use sheet::{Import, import_sheet};
pub use tls::{TlsFiles, TlsSettings, Transport};
