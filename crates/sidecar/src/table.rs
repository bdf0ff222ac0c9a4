//! A map with ascending ids, kept as a sorted vector.

/// `Table` holds values under ids that it hands out in ascending order.
#[derive(Debug)]
pub struct Table<T> {
    entries: Vec<(u64, T)>,
    next_id: u64,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            next_id: 1,
        }
    }
}

impl<T> Table<T> {
    /// `next_id` returns the id that the next call to [`Table::insert`] uses.
    #[must_use]
    pub fn next_id(&self) -> u64 {
        self.next_id
    }

    /// `insert` adds a value and returns its id.
    pub fn insert(&mut self, value: T) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.entries.push((id, value));
        id
    }

    /// `get` finds a value.
    #[must_use]
    pub fn get(&self, id: u64) -> Option<&T> {
        let index = self.index(id)?;
        self.entries.get(index).map(|(_, value)| value)
    }

    /// `get_mut` finds a value.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut T> {
        let index = self.index(id)?;
        self.entries.get_mut(index).map(|(_, value)| value)
    }

    /// `remove` takes a value out.
    pub fn remove(&mut self, id: u64) -> Option<T> {
        let index = self.index(id)?;
        Some(self.entries.remove(index).1)
    }

    /// `len` counts the values.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// `is_empty` tells whether there is no value.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// `ids` lists all ids.
    #[must_use]
    pub fn ids(&self) -> Vec<u64> {
        self.entries.iter().map(|(id, _)| *id).collect()
    }

    /// `iter` visits ids and values in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &T)> {
        self.entries.iter().map(|(id, value)| (*id, value))
    }

    /// `iter_mut` visits ids and values in ascending order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u64, &mut T)> {
        self.entries.iter_mut().map(|(id, value)| (*id, value))
    }

    fn index(&self, id: u64) -> Option<usize> {
        self.entries.binary_search_by_key(&id, |(id, _)| *id).ok()
    }
}
