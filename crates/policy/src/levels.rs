//! Decaying statistics by level; only levels with data take memory. Independent of senders.
use crate::api::Ns;
use crate::decaying_stats::DecayingStats;
use std::ops::RangeInclusive;

/// Statistics below this weight change no bit of the sum or the squares when a value is recorded.
const NEGLIGIBLE_WEIGHT: f64 = 1e-39;

#[derive(Clone, Debug, Default)]
pub struct Levels<const HALF_LIFE_MS: u64> {
    /// Sorted by level.
    cells: Vec<(usize, DecayingStats<HALF_LIFE_MS>)>,
}

impl<const HALF_LIFE_MS: u64> Levels<HALF_LIFE_MS> {
    /// Records a value; a new level first frees those whose weight is negligible.
    pub fn record(&mut self, level: usize, now: Ns, value: f64) {
        if let Ok(at) = self.cells.binary_search_by_key(&level, |cell| cell.0) {
            return self.cells[at].1.record(now, value);
        }
        self.cells.retain(|(_, stats)| stats.weight_at(now) > NEGLIGIBLE_WEIGHT);
        // Most destinations have only one level.
        self.cells.reserve_exact(1);
        let mut stats = DecayingStats::default();
        stats.record(now, value);
        self.cells.insert(self.cells.partition_point(|cell| cell.0 < level), (level, stats));
    }

    /// Divides the levels up to `top` by the nearest one whose statistics weigh at least `min_weight`, the
    /// lower of two equally near. Yields the last level of each part and those statistics; nothing if no
    /// level weighs as much.
    pub fn nearest(
        &self,
        now: Ns,
        min_weight: f64,
        top: usize,
    ) -> impl Iterator<Item = (usize, &DecayingStats<HALF_LIFE_MS>)> {
        let mut measured =
            self.cells.iter().filter(move |(_, stats)| stats.weight_at(now) >= min_weight).peekable();
        std::iter::from_fn(move || {
            let (level, stats) = measured.next()?;
            Some((measured.peek().map_or(top, |next| (level + next.0) / 2), stats))
        })
    }

    /// Removes the levels above `top`.
    pub fn drop_above(&mut self, top: usize) {
        self.cells.retain(|cell| cell.0 <= top);
    }
}

/// Visits the levels from 1 to `top` in spans within which no row changes its value. A row yields consecutive
/// spans, each as its last level and its value; what goes beyond `top` is ignored.
pub fn common_spans<V: Copy + Default>(
    rows: Vec<impl Iterator<Item = (usize, V)>>,
    top: usize,
    mut visit: impl FnMut(RangeInclusive<usize>, &[V]),
) {
    let mut ends = vec![0; rows.len()];
    let mut values = vec![V::default(); rows.len()];
    let mut rows = rows;
    let mut covered = 0;
    while covered < top {
        for ((row, end), value) in rows.iter_mut().zip(&mut ends).zip(&mut values) {
            while *end <= covered {
                (*end, *value) = row.next().unwrap_or((top, V::default()));
            }
        }
        let last = ends.iter().copied().min().unwrap_or(top).min(top);
        visit(covered + 1..=last, &values);
        covered = last;
    }
}
