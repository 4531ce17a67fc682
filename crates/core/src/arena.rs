//! Arena whose keys stay invalid after their entry was removed.

/// Key of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ArenaKey {
    index: u32,
    /// Number of entries that had the same index before.
    generation: u32,
}

/// Entries by key. The indexes of removed entries are used again.
#[derive(Clone, Debug)]
pub struct Arena<T> {
    slots: Vec<ArenaSlot<T>>,
    free: Vec<u32>,
}

#[derive(Clone, Debug)]
struct ArenaSlot<T> {
    generation: u32,
    entry: Option<T>,
}

impl<T> Default for Arena<T> {
    fn default() -> Arena<T> {
        Arena { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Arena<T> {
    /// Adds an entry and returns its key.
    pub fn insert(&mut self, entry: T) -> ArenaKey {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(ArenaSlot { generation: 0, entry: None });
            self.slots.len() as u32 - 1
        });
        let slot = &mut self.slots[index as usize];
        slot.entry = Some(entry);
        ArenaKey { index, generation: slot.generation }
    }

    /// Returns an entry, unless it was removed.
    pub fn get(&self, key: ArenaKey) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        slot.entry.as_ref().filter(|_| slot.generation == key.generation)
    }

    /// Returns an entry for a change, unless it was removed.
    pub fn get_mut(&mut self, key: ArenaKey) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        slot.entry.as_mut().filter(|_| slot.generation == key.generation)
    }

    /// Removes an entry and returns it, unless it was removed before.
    pub fn remove(&mut self, key: ArenaKey) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let entry = slot.entry.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(entry)
    }

    /// Returns all entries with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (ArenaKey, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = ArenaKey { index: index as u32, generation: slot.generation };
            slot.entry.as_ref().map(|entry| (key, entry))
        })
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
