//! The era from which a node has a topic's contents.

use sesamecart_platform::StoreEra;

/// The era of the contents that a node has of one topic.
///
/// The contents of a later era begin with a copy that is older than what this node has. So until a key is written
/// again, what this node knows of it holds, unless the copy shows that its record is newer. See
/// docs/design/store-eras.md.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TopicEra(Option<StoreEra>);

impl TopicEra {
    /// Takes over contents of an era. Returns whether they follow a return of the store.
    pub(super) fn advance(&mut self, era: StoreEra) -> bool {
        let is_restored = self.0.is_some_and(|known| known < era);
        self.0 = self.0.max(Some(era));
        is_restored
    }
}
