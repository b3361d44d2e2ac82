//! Counters and histograms.
