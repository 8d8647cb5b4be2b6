//! Selects the next replica to update to a new version.

use sesamecart_vocabulary::GroupId;

/// The state of one replica of a model during a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// The group.
    pub group: GroupId,
    /// Whether it is currently serving.
    pub routable: bool,
    /// Whether it is assigned the target version.
    pub up_to_date: bool,
    /// Whether its update is in progress.
    pub updating: bool,
}

/// Selects the next replica of one model to update to the target version.
///
/// If all replicas were updated at once, the model would be unavailable until its weights are loaded. So at
/// most one replica is updated at a time. A replica that isn't serving is updated first, since that costs
/// nothing, and a serving one only while another serves. A model's only replica is updated although it
/// serves: no second replica could serve meanwhile, and waiting would never apply the accepted configuration.
#[must_use]
pub fn next_to_update(replicas: &[Replica]) -> Option<&GroupId> {
    if replicas.iter().any(|replica| replica.updating) {
        return None;
    }
    let outdated = || replicas.iter().filter(|replica| !replica.up_to_date);
    if let Some(not_serving) = outdated().find(|replica| !replica.routable) {
        return Some(&not_serving.group);
    }
    let serving = replicas.iter().filter(|replica| replica.routable).count();
    let next = outdated().next()?;
    (serving >= 2 || replicas.len() == 1).then_some(&next.group)
}

#[cfg(test)]
mod tests;
