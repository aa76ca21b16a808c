//! Independent runs on all cores, with results in the order of the work.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Applies `work` to each item, on as many threads as there are cores; `done` is told of each end.
pub fn map<T: Sync, R: Send>(
    items: &[T],
    work: impl Fn(&T) -> R + Sync,
    done: impl Fn(usize, &R) + Sync,
) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let results: Vec<Mutex<Option<R>>> = items.iter().map(|_| Mutex::new(None)).collect();
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(items.len());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let Some(item) = items.get(number) else { return };
                    let result = work(item);
                    done(number, &result);
                    *results[number].lock().expect("no thread panics here") = Some(result);
                }
            });
        }
    });
    let taken = results.into_iter().map(|slot| slot.into_inner().ok().flatten());
    taken.map(|result| result.expect("every item was worked on")).collect()
}
