//! The sheet's columns, found by their headers.

use derive_more::Display;

/// A column that the sheet may have.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "snake_case")]
pub(super) enum Column {
    Date,
    Sheet,
    Kind,
    Name,
    Serves,
    Vms,
    FailureDomain,
    FabricDomain,
    Address,
    Cold,
    Warm,
    KvTokens,
    Customers,
    ChecksEpoch,
}

impl Column {
    pub(super) const ALL: [Self; 14] = [
        Self::Date,
        Self::Sheet,
        Self::Kind,
        Self::Name,
        Self::Serves,
        Self::Vms,
        Self::FailureDomain,
        Self::FabricDomain,
        Self::Address,
        Self::Cold,
        Self::Warm,
        Self::KvTokens,
        Self::Customers,
        Self::ChecksEpoch,
    ];

    /// Returns whether a sheet without this column can't be read.
    pub(super) const fn is_required(self) -> bool {
        !matches!(
            self,
            Self::FabricDomain | Self::KvTokens | Self::Customers | Self::ChecksEpoch
        )
    }

    /// Finds the column of a header, however planners write it: `Failure Domain` is
    /// `failure_domain`.
    pub(super) fn of_header(header: &str) -> Option<Self> {
        let name = header.trim().to_lowercase().replace([' ', '-'], "_");
        Self::ALL
            .into_iter()
            .find(|column| column.to_string() == name)
    }
}
