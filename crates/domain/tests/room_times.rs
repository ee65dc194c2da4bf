//! When workers have room for tasks of one need, compared with a computation task by task.

use quickcheck::{TestResult, quickcheck};
use rosemaryscale_domain::placement::Resources;
use rosemaryscale_domain::schedule::room_times::RoomTimes;

/// Sizes of a case, so that each position of each case is compared in a second.
const WORKERS_MAX: usize = 6;
const ENDS_MAX: usize = 8;

/// Processors, memory and accelerators.
type Amounts = (u8, u8, u8);
/// Free room of a worker, and its runs: the expected end of each, and what it frees.
type Room = (Resources, Vec<(u64, Resources)>);

/// The times at which each single task finds room, in order.
fn times_of_each_task(workers: &[Room], need: Resources) -> Vec<u64> {
    let mut room_at_ms = Vec::new();
    for (free, ends) in workers {
        let mut ends = ends.clone();
        ends.sort_unstable_by_key(|(remaining_ms, _)| *remaining_ms);
        let mut free = *free;
        while need.fits(free) && need != Resources::default() {
            free = free.minus(need);
            room_at_ms.push(0);
        }
        for (remaining_ms, freed) in ends {
            free = free.plus(freed);
            while need.fits(free) && need != Resources::default() {
                free = free.minus(need);
                room_at_ms.push(remaining_ms);
            }
        }
    }
    room_at_ms.sort_unstable();
    room_at_ms
}

fn resources((processors, memory, accelerators): Amounts) -> Resources {
    Resources {
        processors_milli: u64::from(processors % 32),
        memory_mb: u64::from(memory % 32),
        accelerators: u64::from(accelerators % 8),
    }
}

fn room_times(workers: &[Room], need: Resources) -> RoomTimes {
    let mut times = RoomTimes::new(need);
    for (free, ends) in workers {
        times.add_worker(*free, ends.clone());
    }
    times
}

quickcheck! {
    /// Guards against another expected wait than that of a computation task by task. Small amounts make needs of
    /// nothing, ends at the same time, and room that is left over frequent.
    fn the_times_are_those_of_each_task(
        workers: Vec<(Amounts, Vec<(u8, Amounts)>)>,
        need: Amounts
    ) -> TestResult {
        let need = resources((need.0 % 8, need.1 % 8, need.2 % 3));
        let workers: Vec<Room> = workers
            .into_iter()
            .take(WORKERS_MAX)
            .map(|(free, ends)| {
                let ends = ends.into_iter().take(ENDS_MAX);
                let ends = ends.map(|(at_ms, freed)| (u64::from(at_ms), resources(freed)));
                (resources(free), ends.collect())
            })
            .collect();
        let expected = times_of_each_task(&workers, need);
        let mut times = room_times(&workers, need);
        let bound: usize = workers.iter().map(|(_, ends)| ends.len() + 1).sum();
        let all = 0..=expected.len() as u64;
        let is_same = all.into_iter().all(|ahead| times.after(ahead) == expected.get(ahead as usize).copied());
        if !is_same || times.last() != expected.last().copied() {
            return TestResult::error("another time than task by task");
        }
        TestResult::from_bool(times.entry_count() <= bound)
    }
}

/// Guards against a leader that stands still: a need of 1 MB on the largest worker that is accepted fits a thousand
/// million times.
#[test]
fn a_tiny_need_on_a_large_worker_takes_one_entry_for_each_end() {
    let amount = |memory_mb| Resources {
        memory_mb,
        ..Resources::default()
    };
    let ends = vec![(300, amount(7)), (100, amount(5)), (200, amount(0))];
    let mut times = room_times(&[(amount(1_000_000_000), ends)], amount(1));
    assert_eq!(times.entry_count(), 3);
    assert_eq!(times.after(999_999_999), Some(0));
    assert_eq!(times.after(1_000_000_000), Some(100));
    assert_eq!(times.after(1_000_000_005), Some(300));
    assert_eq!(times.after(1_000_000_012), None);
    assert_eq!(times.last(), Some(300));
}

/// Guards against a need of nothing, of which no number is the last that fits.
#[test]
fn a_need_of_nothing_has_no_time() {
    let free = resources((4, 4, 0));
    let mut times = room_times(&[(free, vec![(10, free)])], Resources::default());
    assert_eq!((times.after(0), times.last()), (None, None));
}
