//! Map from ascending ids to values, stored as a sorted vector.

/// Map that assigns ascending ids to its values.
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
    /// Returns the id that the next call to [`Table::insert`] will assign.
    #[must_use]
    pub fn next_id(&self) -> u64 {
        self.next_id
    }

    /// Inserts a value and returns its id.
    pub fn insert(&mut self, value: T) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.entries.push((id, value));
        id
    }

    /// Returns the value with an id.
    #[must_use]
    pub fn get(&self, id: u64) -> Option<&T> {
        let index = self.index(id)?;
        self.entries.get(index).map(|(_, value)| value)
    }

    /// Returns the value with an id for modification.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut T> {
        let index = self.index(id)?;
        self.entries.get_mut(index).map(|(_, value)| value)
    }

    /// Removes and returns the value with an id.
    pub fn remove(&mut self, id: u64) -> Option<T> {
        let index = self.index(id)?;
        Some(self.entries.remove(index).1)
    }

    /// Returns the number of values.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no values.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns all ids in ascending order.
    #[must_use]
    pub fn ids(&self) -> Vec<u64> {
        self.entries.iter().map(|(id, _)| *id).collect()
    }

    /// Iterates over ids and values in ascending order of the ids.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &T)> {
        self.entries.iter().map(|(id, value)| (*id, value))
    }

    /// Iterates over ids and mutable values in ascending order of the ids.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u64, &mut T)> {
        self.entries.iter_mut().map(|(id, value)| (*id, value))
    }

    fn index(&self, id: u64) -> Option<usize> {
        self.entries.binary_search_by_key(&id, |(id, _)| *id).ok()
    }
}
