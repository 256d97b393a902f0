use super::*;
use crate::wire::worker::WorkerCommand;

fn call(port: u16, stops: usize) -> WorkerCall {
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
    let address = ([127, 0, 0, 1], port).into();
    WorkerCall { address, commands }
}

/// Guards against dropped stops: a round sends a token update to each of its machines, and the
/// stops of a gang that are enqueued later must neither wait for the token updates nor find the
/// queue full.
#[test]
fn stops_are_sent_before_token_updates() {
    let mut queue = CallQueue::default();
    for port in 0..300 {
        queue.start_or_enqueue(call(port, 0));
    }
    for port in 300..320 {
        assert!(
            queue.start_or_enqueue(call(port, 1)).is_none(),
            "the call is queued"
        );
    }
    let stops: Vec<u16> = (0..20)
        .map(|_| queue.finish_and_take_next().unwrap().address.port())
        .collect();
    assert_eq!(
        stops,
        (300..320).collect::<Vec<u16>>(),
        "stops are taken first"
    );
    let mut token_updates = 0;
    while queue.finish_and_take_next().is_some() {
        token_updates += 1;
    }
    assert_eq!(
        token_updates,
        300 - constants::MAX_WORKER_CALLS,
        "queued token updates are taken after the stops"
    );
    for _ in 1..constants::MAX_WORKER_CALLS {
        assert!(queue.finish_and_take_next().is_none());
    }
    assert_eq!(queue.in_flight, 0);
}

#[test]
fn stops_beyond_the_queue_limit_are_dropped() {
    let mut queue = CallQueue::default();
    for port in 0..u16::MAX {
        queue.start_or_enqueue(call(port, 1));
    }
    assert_eq!(queue.stops.len(), constants::MAX_QUEUED_WORKER_CALLS);
}
