//! Small stand-ins that the cases share. They use nothing but the standard library.

#![allow(dead_code, reason = "no case uses all of them")]

pub mod deployment;
pub mod http;
pub mod proxy;
pub mod store;
