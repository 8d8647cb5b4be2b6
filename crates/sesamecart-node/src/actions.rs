//! Keyed actions: this node's part as a key's owner, as a voter, and as the one that asks.
//!
//! The decisions are in `sesamecart-actions`; here they meet the log, the links and the clock.
//! docs/design/actions.md gives the protocol.

mod asker;
mod commit;
mod desk;
mod directory;
mod renewal;
mod takeover;
mod voter;
mod wire;

pub(crate) use asker::{Asked, UnderWay};
pub(crate) use desk::Desk;
pub(crate) use directory::Directory;
pub(crate) use wire::Ending;
