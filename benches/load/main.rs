//! A reproducible load on one node that shows how the node uses processor time and memory.
//!
//! The node is the real program. The state service, the cloud, the workers and the users are
//! simulated in this process, written from the protocol. Under callgrind, the node's instructions,
//! allocations and system calls are counted, which depend little on other load of the machine. With
//! `--native`, the node's memory is read instead. `docs/operating.md` describes how to run the
//! program.

// The program panics if it can't measure.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod cloud;
mod constants;
mod fleet;
mod jobs;
mod machine;
mod network;
mod options;
mod phases;
mod process;
mod profile;
#[path = "../../tests/support/records.rs"]
mod records;
mod report;
mod state_service;
mod workers;

use clap::Parser;
use fleet::Fleet;
use network::{find_unused_address, serve, wait_until_ready};
use options::Options;
use phases::Load;
use process::{NodeAddress, NodeProcess, Services};
use state_service::StateService;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Time in which the node that is started first becomes leader.
const ELECTION_TIME: Duration = Duration::from_secs(2);

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let options = Options::parse();
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("load");
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).unwrap();
    let nodes = [
        find_unused_address("n0").await,
        find_unused_address("n1").await,
    ];
    let heartbeat_interval = Duration::from_secs(options.heartbeat_interval);
    let fleet = Fleet::new(heartbeat_interval, nodes.to_vec());
    let services = Services {
        state: serve(Arc::<StateService>::default().router()).await,
        cloud: serve(cloud::router(fleet.clone())).await,
    };
    for node in &nodes {
        let text = process::settings_text(node, &nodes, &services, options.heartbeat_interval);
        std::fs::write(directory.join(format!("{}.toml", node.name)), text).unwrap();
    }
    // The node that is started first becomes leader.
    let profiled = !options.native;
    let leader = start_node(&directory, &nodes[0], profiled && !options.follower).await;
    tokio::time::sleep(ELECTION_TIME).await;
    let follower = start_node(&directory, &nodes[1], profiled && options.follower).await;
    let (measured, other_node, front) = if options.follower {
        (follower, leader, nodes[1].front)
    } else {
        (leader, follower, nodes[0].front)
    };
    Load::new(options, fleet, measured, front)
        .run_phases(other_node)
        .await;
}

/// Starts a node, under callgrind if `profiled`, and waits until the node is ready.
async fn start_node(directory: &Path, node: &NodeAddress, profiled: bool) -> NodeProcess {
    let settings_file = directory.join(format!("{}.toml", node.name));
    let log = directory.join(format!("{}.log", node.name));
    let profiles = profiled.then(|| directory.join("callgrind"));
    let process = NodeProcess::start(&settings_file, &log, profiles).unwrap();
    wait_until_ready(node.front).await;
    process
}
