//! Crowds of callers outside the limits, beside the faults of a run.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::crowd;
use crate::crowd::Behaviour;
use crate::crowd::Crowd;
use crate::crowd::LARGE_PATH;
use crate::crowd::RunningCrowd;
use crate::soak::testbed::Testbed;

/// Number of crowds in a run, and the sizes of each.
const CROWDS: usize = 2;
const MIN_CALLERS: usize = 10;
const MAX_CALLERS: usize = 60;

/// Largest share of the VM's memory that a node may use beside crowds, in percent.
pub(super) const MEMORY_PERCENT: u64 = 100;

/// Starts crowds at random nodes. They go on until they are dropped, also when their node restarts.
pub(super) fn start(testbed: &Testbed, seed: u64) -> Vec<RunningCrowd> {
    let mut random = SmallRng::seed_from_u64(seed + 3_000_000);
    (0..CROWDS)
        .map(|_| {
            let vm = &testbed.vms[random.random_range(0..testbed.vms.len())];
            let (behaviour, input) = behaviour(&mut random);
            let callers = random.random_range(MIN_CALLERS..=MAX_CALLERS);
            println!("{callers} callers at {}: {behaviour:?}", vm.name);
            let crowd = Crowd {
                node: vm.callers,
                callers,
                behaviour,
                input,
                returns: true,
            };
            crowd.start(1)
        })
        .collect()
}

fn behaviour(random: &mut SmallRng) -> (Behaviour, Vec<u8>) {
    match random.random_range(0..6) {
        0 => (Behaviour::SendOn, crowd::get(LARGE_PATH)),
        1 => (Behaviour::ReadSlowly, crowd::get(LARGE_PATH)),
        2 => (Behaviour::Leave, crowd::get(LARGE_PATH)),
        3 => (Behaviour::Read, crowd::get("/feed/1")),
        4 => (Behaviour::Trickle, crowd::unfinished_head()),
        _ => (Behaviour::SendOnce, crowd::unfinished_upload()),
    }
}
