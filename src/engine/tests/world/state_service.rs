//! The simulated state service.

use super::*;

#[derive(Default)]
pub(super) struct Store {
    pub(super) keys: BTreeMap<String, (rmpv::Value, u64, Option<u64>)>,
    pub(super) revision: u64,
    pub(super) leases: BTreeMap<u64, (u64, Ms)>,
    pub(super) log: Vec<(u64, ws::WatchEvent)>,
    /// Keys under a lease.
    pub(super) leased: BTreeSet<String>,
    pub(super) watches: Vec<Watch>,
    pub(super) commits: u64,
}

pub(super) struct Watch {
    pub(super) node: usize,
    pub(super) epoch: u64,
    pub(super) call_id: u64,
    pub(super) prefix: String,
    pub(super) after: u64,
    pub(super) until: Ms,
}

impl World {
    pub(super) fn serve_store(&mut self, node: usize, epoch: u64, call_id: u64, call: &StoreCall) {
        let refused = self.faults.store_down || self.faults.store_refuses.contains(&node);
        let records =
            |prefix: &str| prefix == records::PROGRESS_PREFIX || prefix == records::ROUND_PREFIX;
        let unlisted = matches!(call, StoreCall::List { prefix, .. } if records(prefix));
        let refused = refused || (unlisted && self.faults.no_records);
        if let StoreCall::Commit(txn) = call {
            let fenced = txn.comparisons.iter().any(|c| c.key == records::LEADER_KEY);
            assert!(fenced, "no condition on the leader's key: {txn:?}");
        }
        if let StoreCall::Commit(txn) = call
            && !refused
            && let Some(late) = self.lateness(txn)
        {
            self.store.commits += 1;
            self.at(late, Ev::Late(txn.clone()));
            let result = Err(StoreError::Unknown("no answer".into()));
            let patience = constants::STORE_TIMEOUT.as_millis() as Ms;
            let command = Command::StoreCallCompleted { call_id, result };
            return self.at(patience, Ev::Command(node, epoch, command));
        }
        let result = if refused {
            Err(StoreError::NotExecuted("503".into()))
        } else {
            self.store_call(call)
        };
        let command = Command::StoreCallCompleted { call_id, result };
        let slow = self.faults.slow_answers.get(&node).copied().unwrap_or(0);
        let delay = self.link() + slow;
        self.at(delay, Ev::Command(node, epoch, command));
        self.serve_watches();
    }

    /// By how much the transaction is late, if it gets no answer.
    pub(super) fn lateness(&mut self, txn: &ws::Transaction) -> Option<Ms> {
        let begins = |key: &str| {
            let written = txn.mutations.iter().map(|write| match write {
                ws::Mutation::Put { key, .. } => key,
                ws::Mutation::Delete { key } => key,
            });
            written.into_iter().any(|k| k.starts_with(key))
        };
        if self.faults.late_write.is_some_and(begins) {
            self.faults.late_write = None;
            return Some(12_000);
        }
        let number = self.store.commits + 1;
        let late = 2_000 + number * 1_700 % 10_000;
        number
            .is_multiple_of(self.faults.late_every)
            .then_some(late)
    }

    pub(super) fn store_call(&mut self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        match call {
            StoreCall::Get { key } => Ok(StoreReply::Item(self.store.keys.get(key).map(
                |(value, version, _)| ws::Item {
                    key: key.clone(),
                    value: value.clone(),
                    version: *version,
                },
            ))),
            StoreCall::List { prefix, after } => {
                let from = after.as_ref().unwrap_or(prefix);
                let mut keys = self
                    .store
                    .keys
                    .range(from.clone()..)
                    .take_while(|(k, _)| k.starts_with(prefix))
                    .filter(|(k, _)| after.as_ref() != Some(k));
                let items = keys
                    .by_ref()
                    .take(self.page)
                    .map(|(k, (value, version, _))| ws::Item {
                        key: k.clone(),
                        value: value.clone(),
                        version: *version,
                    })
                    .collect();
                let more = keys.next().is_some();
                Ok(StoreReply::Listing(ws::Listing {
                    items,
                    has_more: more,
                    revision: self.store.revision,
                }))
            }
            StoreCall::Commit(txn) => {
                self.store.commits += 1;
                let result = self.commit(txn);
                if self.store.commits.is_multiple_of(self.faults.lose_every) {
                    return Err(StoreError::Unknown("lost".into()));
                }
                result
            }
            StoreCall::GrantLease { ttl_ms } => {
                let lease = self.store.leases.len() as u64 + 1;
                self.store
                    .leases
                    .insert(lease, (*ttl_ms, self.now + ttl_ms));
                Ok(StoreReply::LeaseGranted { lease })
            }
            StoreCall::KeepAlive { lease } => {
                let now = self.now;
                match self
                    .store
                    .leases
                    .get_mut(lease)
                    .filter(|(_, until)| *until > now)
                {
                    Some((ttl, until)) => {
                        *until = now + *ttl;
                        Ok(StoreReply::LeaseUpdated)
                    }
                    None => Err(StoreError::NoLease),
                }
            }
            StoreCall::RevokeLease { lease } => {
                if let Some((_, until)) = self.store.leases.get_mut(lease) {
                    *until = 0;
                }
                self.expire();
                Ok(StoreReply::LeaseUpdated)
            }
            StoreCall::Watch { .. } => unreachable!("kept apart"),
        }
    }

    pub(super) fn commit(&mut self, txn: &ws::Transaction) -> Result<StoreReply, StoreError> {
        let ops = self.txn_ops;
        assert!(
            txn.mutations.len() <= ops && txn.comparisons.len() <= 4 * ops,
            "over the limits: {txn:?}"
        );
        let now = self.now;
        let size = crate::wire::encode(txn).len();
        assert!(size < 64 * 1024, "a transaction of {size} bytes");
        for write in &txn.mutations {
            if let ws::Mutation::Put { key, value, .. } = write {
                let size = records::json_size(value);
                assert!(size <= self.value_max, "{key} takes {size} bytes");
            }
            let over = |lease: &u64| {
                let lease = self.store.leases.get(lease);
                lease.is_none_or(|(_, until)| *until <= now)
            };
            if matches!(write, ws::Mutation::Put { lease: Some(lease), .. } if over(lease)) {
                return Err(StoreError::Malformed("no such lease".into()));
            }
        }
        let version = |key: &str| self.store.keys.get(key).map_or(0, |(_, v, _)| *v);
        let failed: Vec<String> = txn
            .comparisons
            .iter()
            .filter(|c| version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(StoreError::Conflict(failed));
        }
        self.check_writes(txn);
        self.store.revision += 1;
        let revision = self.store.revision;
        for write in &txn.mutations {
            match write {
                ws::Mutation::Put { key, value, lease } => {
                    self.store
                        .keys
                        .insert(key.clone(), (value.clone(), revision, *lease));
                    match lease {
                        Some(_) => self.store.leased.insert(key.clone()),
                        None => self.store.leased.remove(key),
                    };
                    let event = ws::WatchEvent::Put {
                        key: key.clone(),
                        value: value.clone(),
                        version: revision,
                    };
                    self.store.log.push((revision, event));
                }
                ws::Mutation::Delete { key } => self.delete(key, revision),
            }
        }
        self.serve_watches();
        Ok(StoreReply::Committed { revision })
    }

    /// A job is called done after its tasks are, and nothing else after that; no round is written
    /// with a job whose cancellation is durable.
    pub(super) fn check_writes(&mut self, txn: &ws::Transaction) {
        for write in &txn.mutations {
            let ws::Mutation::Put { key, value, .. } = write else {
                continue;
            };
            let round = key.starts_with(records::ROUND_PREFIX);
            let round = round.then(|| records::from_value::<records::RoundRecord>(value.clone()));
            for records::StartRecord { job: id, .. } in
                round.flatten().into_iter().flat_map(|round| round.starts)
            {
                if self.cancelled.contains_key(&id) {
                    let now = self.now;
                    self.broken
                        .push(format!("{now}: a round with cancelled {id}"));
                }
            }
            let Some(id) = key.strip_prefix("final/") else {
                continue;
            };
            let state = records::read_final(value.clone()).map(|f| f.state);
            let now = self.now;
            if self.state(id).is_some_and(|old| Some(old) != state) {
                self.broken
                    .push(format!("{now}: went_back {id} to {state:?}"));
            }
            let of = format!("{id}/");
            let ended = self.finished.iter().filter(|t| t.starts_with(&of)).count() as u64;
            let job = &self.jobs[id];
            let enough = match job.kind {
                JobKind::Gang => 1,
                _ => job.tasks,
            };
            if state == Some(JobState::Done) && ended < enough {
                self.broken.push(format!("{now}: not_done {id}"));
            }
        }
    }

    pub(super) fn delete(&mut self, key: &str, version: u64) {
        self.store.leased.remove(key);
        if self.store.keys.remove(key).is_some() {
            let event = ws::WatchEvent::Delete {
                key: key.into(),
                version,
            };
            self.store.log.push((version, event));
        }
    }

    /// Ends leases, worker leases and outages' grace.
    pub(super) fn expire(&mut self) {
        let now = self.now;
        if self.faults.store_down {
            // An outage gives all leases their full time again.
            for (ttl, until) in self
                .store
                .leases
                .values_mut()
                .filter(|(_, until)| *until > 0)
            {
                *until = now + *ttl;
            }
        }
        let ended = |key: &&String| {
            let lease = self.store.keys[*key].2.unwrap();
            let lease = self.store.leases.get(&lease);
            lease.is_none_or(|(_, until)| *until <= now)
        };
        let over: Vec<String> = self.store.leased.iter().filter(ended).cloned().collect();
        for key in over {
            self.store.revision += 1;
            self.delete(&key, self.store.revision);
        }
        self.serve_watches();
    }

    pub(super) fn serve_watches(&mut self) {
        let down = self.faults.store_down;
        let (now, revision) = (self.now, self.store.revision);
        let mut rest = Vec::new();
        for w in std::mem::take(&mut self.store.watches) {
            let log = &self.store.log;
            let events: Vec<ws::WatchEvent> = log[log.partition_point(|(at, _)| *at <= w.after)..]
                .iter()
                .filter(|(_, event)| {
                    let (ws::WatchEvent::Put { key, .. } | ws::WatchEvent::Delete { key, .. }) =
                        event;
                    key.starts_with(&w.prefix)
                })
                .map(|(_, event)| event.clone())
                .collect();
            let waits = down || self.faults.store_refuses.contains(&w.node);
            let result = if now >= w.until + constants::WATCH_SLACK.as_millis() as Ms {
                // The caller has given up.
                Err(StoreError::Unknown("no answer".into()))
            } else if waits || (events.is_empty() && now < w.until) {
                rest.push(w);
                continue;
            } else {
                Ok(StoreReply::Changes(ws::Changes { revision, events }))
            };
            let command = Command::StoreCallCompleted {
                call_id: w.call_id,
                result,
            };
            let slow = self.faults.slow_watch.get(&w.node).copied().unwrap_or(0);
            let delay = self.link() + slow;
            self.at(delay, Ev::Command(w.node, w.epoch, command));
        }
        self.store.watches = rest;
    }
}
