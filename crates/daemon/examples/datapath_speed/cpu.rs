//! CPU time of threads and memory usage of the process.

use std::fs;

/// Memory page size, in bytes.
const PAGE_BYTES: usize = 4_096;

/// Returns the CPU time of all threads whose name starts with `prefix`, in nanoseconds.
pub fn threads_ns(prefix: &str) -> u64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0;
    };
    tasks
        .flatten()
        .filter(|task| {
            fs::read_to_string(task.path().join("comm")).is_ok_and(|name| name.starts_with(prefix))
        })
        .filter_map(|task| fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|stat| first_number(&stat))
        .sum()
}

/// Returns the CPU time of the calling thread, in nanoseconds.
pub fn current_thread_ns() -> u64 {
    fs::read_to_string("/proc/thread-self/schedstat")
        .ok()
        .and_then(|stat| first_number(&stat))
        .unwrap_or_default()
}

/// Returns the resident memory of the process, in bytes.
pub fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the median of `values`.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

fn first_number(text: &str) -> Option<u64> {
    text.split(' ').next()?.parse().ok()
}
