//! Counts the bytes that are allocated, so that what each node keeps can be told.
#![allow(unsafe_code)] // A global allocator can't be written without.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicI64, Ordering};

/// The system's allocator with a counter.
pub struct Counting;

static LIVE: AtomicI64 = AtomicI64::new(0);

fn count(bytes: usize, sign: i64) {
    LIVE.fetch_add(sign * bytes as i64, Ordering::Relaxed);
}

/// Bytes allocated now, as they were asked for.
pub fn live() -> i64 {
    LIVE.load(Ordering::Relaxed)
}

// SAFETY: every call goes to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size(), 1);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        count(layout.size(), -1);
        unsafe { System.dealloc(block, layout) }
    }

    unsafe fn realloc(&self, block: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        count(layout.size(), -1);
        count(size, 1);
        unsafe { System.realloc(block, layout, size) }
    }
}
