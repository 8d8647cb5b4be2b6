//! With which status the process ends.

use std::process::ExitCode;

use derive_more::Display;
use sesamecart_administration::ErrorCode;

/// With which status a command ends; docs/operators.md lists them for scripts.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{}", self.code())]
pub enum Exit {
    /// It did what was asked.
    Done,
    /// A file or node couldn't be read or reached.
    Failed,
    /// The arguments can't be used.
    Usage,
    /// A sheet or configuration has problems; nothing was changed.
    Problems,
    /// Another change came first; nothing was changed.
    Conflict,
    /// The token or role doesn't allow it; nothing was changed.
    Denied,
    /// Nobody knows yet whether the change took effect.
    Undecided,
    /// The change was accepted, but isn't in force on every node in time.
    NotEverywhere,
    /// A replayed trace came out otherwise than stated.
    Differs,
}

impl Exit {
    /// Returns the status.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Problems => 3,
            Self::Conflict => 4,
            Self::Denied => 5,
            Self::Undecided => 6,
            Self::NotEverywhere => 7,
            Self::Differs => 8,
        }
    }

    /// Returns the status for a failure that the API tells.
    pub(crate) const fn of(code: ErrorCode) -> Self {
        match code {
            ErrorCode::Invalid => Self::Problems,
            ErrorCode::Conflict => Self::Conflict,
            ErrorCode::Unauthenticated | ErrorCode::Forbidden => Self::Denied,
            ErrorCode::Undecided => Self::Undecided,
            ErrorCode::BadRequest
            | ErrorCode::NotFound
            | ErrorCode::MethodNotAllowed
            | ErrorCode::RateLimited
            | ErrorCode::Unavailable => Self::Failed,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
