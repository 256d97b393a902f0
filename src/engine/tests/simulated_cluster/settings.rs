//! The settings of the simulated nodes.

use crate::settings::{Peer, Settings, tests::SAMPLE};

/// Returns the text of the settings file that all nodes share. [`node_settings`] adds node name,
/// zone and peers.
pub(super) fn settings_text(gpus_max: f64, upcoming_limits: &str) -> String {
    SAMPLE
        .replace("gpus_max = 8.0", &format!("gpus_max = {gpus_max:?}"))
        .replace("txn_ops = 24", &format!("txn_ops = 24\n{upcoming_limits}"))
}

/// Parses a settings file and fills in the name, zone and peers of one of `nodes` nodes.
///
/// # Panics
///
/// Panics if the settings are invalid.
pub(crate) fn node_settings(text: &str, node: usize, nodes: usize) -> Settings {
    let mut settings = Settings::parse(text, "sample").unwrap();
    let sample_peer = settings.peers[0].clone();
    settings.node = node_name(node);
    settings.zone = zone_of(node);
    settings.peers = (0..nodes)
        .filter(|peer| *peer != node)
        .map(|peer| Peer {
            node: node_name(peer),
            zone: zone_of(peer),
            ..sample_peer.clone()
        })
        .collect();
    settings
}

/// Returns the name of the node with the given index.
pub(super) fn node_name(node: usize) -> String {
    format!("n{node}")
}

/// Returns the index of the node with the given name.
pub(super) fn node_index(name: &str) -> usize {
    name[1..].parse().unwrap()
}

/// Returns the zone of a node: only node 1 is in the west.
fn zone_of(node: usize) -> String {
    if node == 1 { "west" } else { "east" }.to_owned()
}
