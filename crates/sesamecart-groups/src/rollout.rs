//! Which replica changes to a new version next.

use sesamecart_vocabulary::GroupId;

/// One replica of a model, as a rollout sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// The group.
    pub group: GroupId,
    /// Whether it serves now.
    pub routable: bool,
    /// Whether it runs or is changing to the wanted version.
    pub current: bool,
    /// Whether its change is under way.
    pub changing: bool,
}

/// Chooses the next replica of one model to change to the wanted version.
///
/// If all replicas changed at once, the model would be away for a whole load. So at most one changes
/// at a time, one that doesn't serve goes first since it costs nothing, and a serving one goes only
/// while another serves. A model with a single replica goes when nothing better is possible: there
/// is no second replica to keep the service, and waiting would leave the accepted configuration
/// out of force for ever.
#[must_use]
pub fn next_to_update(replicas: &[Replica]) -> Option<&GroupId> {
    if replicas.iter().any(|replica| replica.changing) {
        return None;
    }
    let behind = || replicas.iter().filter(|replica| !replica.current);
    if let Some(idle) = behind().find(|replica| !replica.routable) {
        return Some(&idle.group);
    }
    let serving = replicas.iter().filter(|replica| replica.routable).count();
    let next = behind().next()?;
    (serving >= 2 || replicas.len() == 1).then_some(&next.group)
}

#[cfg(test)]
mod tests;
