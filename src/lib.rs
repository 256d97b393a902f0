//! umbervale: a cluster scheduler. Three controller processes accept users' jobs, rent machines
//! from a cloud, place tasks on workers, and keep all durable state in a consensus-backed key-value
//! store, the state service.
//!
//! `docs/architecture.md` describes which component owns which state, and follows a submission, a
//! cancellation and a failover through the code. `docs/design.md` describes the design and explains
//! why it is safe.

pub mod api;
pub mod autoscaler;
pub mod bounded_map;
pub mod clock;
pub mod cloud;
pub mod constants;
pub mod engine;
pub mod engine_queue;
pub mod http;
pub mod model;
pub mod node;
pub mod peer;
pub mod placement;
pub mod rate_limit;
pub mod settings;
pub mod store;
pub mod wire;
pub mod workers;
