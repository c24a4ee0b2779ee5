//! Aged figures by level, of which only those that were booked take room. Nothing here knows of senders.
use crate::aged::Aged;
use crate::api::Ns;
use std::ops::RangeInclusive;

/// A figure of less weight changes no bit of what is booked on top of it: neither the sum nor the squares.
const NOTHING: f64 = 1e-39;

#[derive(Clone, Debug, Default)]
pub struct Levels<const HALF_LIFE_MS: u64> {
    /// In the order of their levels.
    cells: Vec<(usize, Aged<HALF_LIFE_MS>)>,
}

impl<const HALF_LIFE_MS: u64> Levels<HALF_LIFE_MS> {
    /// Books one value; a level that is new takes the room of those that weigh nothing any more.
    pub fn book(&mut self, level: usize, now: Ns, x: f64) {
        if let Ok(at) = self.cells.binary_search_by_key(&level, |cell| cell.0) {
            return self.cells[at].1.book(now, x);
        }
        self.cells.retain(|(_, figure)| figure.aged(now) > NOTHING);
        // Most destinations never see a second level.
        self.cells.reserve_exact(1);
        let mut figure = Aged::default();
        figure.book(now, x);
        self.cells.insert(self.cells.partition_point(|cell| cell.0 < level), (level, figure));
    }

    /// Parts the levels up to `top` by the nearest of those whose figure weighs at least `least`, the lower of two
    /// equally near: the last level of each part, and that figure. Nothing where none weighs as much.
    pub fn nearest(
        &self,
        now: Ns,
        least: f64,
        top: usize,
    ) -> impl Iterator<Item = (usize, &Aged<HALF_LIFE_MS>)> {
        let mut weighty = self.cells.iter().filter(move |(_, figure)| figure.aged(now) >= least).peekable();
        std::iter::from_fn(move || {
            let (level, figure) = weighty.next()?;
            Some((weighty.peek().map_or(top, |next| (level + next.0) / 2), figure))
        })
    }

    /// Drops what is above a level.
    pub fn cut(&mut self, most: usize) {
        self.cells.retain(|cell| cell.0 <= most);
    }
}

/// Walks through the levels from 1 to `top` by spans in which no row changes its value. A row has spans too, one after
/// the other, as the last level of each and its value; what it has beyond `top` is left out.
pub fn common_spans<V: Copy + Default>(
    rows: Vec<impl Iterator<Item = (usize, V)>>,
    top: usize,
    mut each: impl FnMut(RangeInclusive<usize>, &[V]),
) {
    let mut ends = vec![0; rows.len()];
    let mut values = vec![V::default(); rows.len()];
    let mut rows = rows;
    let mut done = 0;
    while done < top {
        for ((row, end), value) in rows.iter_mut().zip(&mut ends).zip(&mut values) {
            while *end <= done {
                (*end, *value) = row.next().unwrap_or((top, V::default()));
            }
        }
        let last = ends.iter().copied().min().unwrap_or(top).min(top);
        each(done + 1..=last, &values);
        done = last;
    }
}
