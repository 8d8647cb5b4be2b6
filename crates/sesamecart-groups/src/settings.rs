//! The times and rates that group control works by.

use std::time::Duration;

use sesamecart_vocabulary::Bytes;

/// What group control is set to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupSettings {
    /// How long a report of a group holds. It bounds how long work can go to a group that has lost a
    /// member without a word, and must cover three polls so that one lost answer takes nobody out.
    pub validity: Duration,
    /// How long a member must be unseen before it is replaced. A pause shorter than this costs less
    /// than loading its weights again elsewhere.
    pub patience: Duration,
    /// The longest time that an order sent by an earlier owner can take effect.
    pub longest_order: Duration,
    /// How long an append may go without a verdict before it is planned anew.
    pub append_timeout: Duration,
    /// How long an engine may take to start before the order is given again.
    pub start_timeout: Duration,
    /// How long a VM whose load failed isn't chosen again.
    pub suspect_for: Duration,
    /// What the weight store gives in a second to all groups controlled here.
    pub store_rate: Bytes,
    /// What one VM can load in a second.
    pub vm_rate: Bytes,
    /// How groups are repaired.
    pub repair: RepairSettings,
}

/// How groups are repaired; each way can be switched off to see what it brings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RepairSettings {
    /// Replace a lost member by a free VM of the same fabric domain.
    pub use_spares: bool,
    /// Complete a group with the survivors of another that is out as well.
    pub merge_broken: bool,
    /// Take apart a serving group for one of a model that has hardly any replica left and whose
    /// service is worth much more.
    pub take_apart_serving: bool,
    /// Replace a VM that is listed as leaving before it goes.
    pub replace_leaving: bool,
    /// How many times more a group's service must be worth than that of the serving group taken
    /// apart for it; below 2 two groups could take each other apart in turn.
    pub take_apart_factor: u32,
    /// How long a lost VM usually stays away. Survivors of another group that is out are only taken
    /// if loading and starting there takes less.
    pub expected_return: Duration,
    /// How long an engine usually takes to start once the weights are there.
    pub expected_start: Duration,
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(3),
            patience: Duration::from_secs(5),
            longest_order: Duration::from_secs(10),
            append_timeout: Duration::from_secs(10),
            start_timeout: Duration::from_secs(120),
            suspect_for: Duration::from_secs(60),
            store_rate: Bytes(20_000_000_000),
            vm_rate: Bytes(2_000_000_000),
            repair: RepairSettings::default(),
        }
    }
}

impl Default for RepairSettings {
    fn default() -> Self {
        Self {
            use_spares: true,
            merge_broken: true,
            take_apart_serving: true,
            replace_leaving: true,
            take_apart_factor: 2,
            expected_return: Duration::from_secs(600),
            expected_start: Duration::from_secs(30),
        }
    }
}
