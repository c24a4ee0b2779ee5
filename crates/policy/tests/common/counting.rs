//! An allocator that counts the bytes held and the allocations.
#![allow(dead_code)]
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

pub struct Counting {
    held: AtomicUsize,
    peak: AtomicUsize,
    calls: AtomicUsize,
}

impl Counting {
    pub const fn new() -> Counting {
        Counting { held: AtomicUsize::new(0), peak: AtomicUsize::new(0), calls: AtomicUsize::new(0) }
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.held.load(Relaxed)
    }

    /// The maximum of bytes held since the last call of this function.
    pub fn peak(&self) -> usize {
        self.peak.swap(self.held(), Relaxed)
    }

    /// Allocations so far.
    pub fn calls(&self) -> usize {
        self.calls.load(Relaxed)
    }
}

// SAFETY: all requests go to the system allocator; only sizes are added up.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        self.calls.fetch_add(1, Relaxed);
        let held = self.held.fetch_add(layout.size(), Relaxed) + layout.size();
        self.peak.fetch_max(held, Relaxed);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        self.held.fetch_sub(layout.size(), Relaxed);
        System.dealloc(at, layout);
    }
}
