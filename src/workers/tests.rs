use super::*;
use crate::wire::worker::WorkerCommand;

fn call(port: u16, stops: usize) -> Call {
    let stop = WorkerCommand::Stop {
        task: "run-1/0".into(),
        attempt: 1,
        grace_s: 0,
    };
    let commands = DirectCommands {
        fencing_token: 1,
        incarnation: 1,
        commands: vec![stop; stops],
    };
    (([127, 0, 0, 1], port).into(), commands)
}

/// A round's calls to its machines once took every place, and the stops of a gang that came
/// after them were dropped.
#[test]
fn stops_are_not_lost_behind_the_rest() {
    let mut queue = Queue::default();
    for port in 0..300 {
        queue.begins(call(port, 0));
    }
    for port in 300..320 {
        assert!(queue.begins(call(port, 1)).is_none(), "it waits");
    }
    let stops: Vec<u16> = (0..20).map(|_| queue.next().unwrap().0.port()).collect();
    assert_eq!(stops, (300..320).collect::<Vec<u16>>(), "stops come first");
    let mut rest = 0;
    while queue.next().is_some() {
        rest += 1;
    }
    assert_eq!(
        rest,
        300 - constants::MAX_WORKER_CALLS,
        "and the rest after them"
    );
    for _ in 1..constants::MAX_WORKER_CALLS {
        assert!(queue.next().is_none());
    }
    assert_eq!(queue.under_way, 0);
}

#[test]
fn the_queue_is_bounded() {
    let mut queue = Queue::default();
    for port in 0..u16::MAX {
        queue.begins(call(port, 1));
    }
    assert_eq!(queue.stops.len(), constants::MAX_QUEUED_WORKER_CALLS);
}
