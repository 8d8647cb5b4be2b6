//! The parts of prompts, which requests may share.

use std::str::FromStr;

use derive_more::{Display, Error};

/// The maximum number of digits of an ID.
const MAX_DIGITS: usize = 32;

/// The error of parsing the ID of a part of a prompt.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the ID of a part of a prompt must be 1 to {MAX_DIGITS} hexadecimal digits")]
pub struct ParsePromptPartError;

/// The ID of a part of a prompt. Requests whose prompts share the part name the same ID.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{_0:x}")]
pub struct PromptPartId(pub u128);

impl FromStr for PromptPartId {
    type Err = ParsePromptPartError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.is_empty() || text.len() > MAX_DIGITS || !is_hex {
            return Err(ParsePromptPartError);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| ParsePromptPartError)?;
        Ok(Self(number))
    }
}

#[cfg(test)]
mod tests;
