//! The day's configuration, the node's settings and the planners' sheet, checked before use.

mod configuration;
mod settings;

pub use configuration::{
    Configuration, Customer, Endpoint, EndpointKind, FailureDomain, Group, Limits, Model, Service,
    Vm,
};
pub use settings::{CallerBounds, LinkPeer, LogSettings, Settings, SettingsError};
