//! Results of a run.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use crate::{
    FlowOutcome,
    caller::Caller,
    data_plane::DataPlane,
    lan::{Lan, Report},
    target::Target,
};

impl<P: DataPlane> Lan<P> {
    /// Requests that the targets of the service with number `service` run now, in total.
    pub fn running_requests(&self, service: u8) -> usize {
        let is_of_service = |target: &&Target| match target.address {
            IpAddr::V4(ip) => ip.octets()[1] == service,
            IpAddr::V6(_) => false,
        };
        self.targets.iter().filter(is_of_service).map(Target::running).sum()
    }

    /// The addresses of all targets with the number of their open flows.
    pub fn open_flows(&self) -> Vec<(IpAddr, usize)> {
        self.targets.iter().map(|target| (target.address, target.open_flows())).collect()
    }

    /// The most requests that any one target had open at the same time.
    pub fn most_requests(&self) -> usize {
        self.targets.iter().map(|target| target.most_requests).max().unwrap_or(0)
    }

    /// Records every delivery of a packet of this caller's flow from now on.
    pub fn trace(&mut self, caller: usize) {
        self.traced_caller = Some(self.callers[caller].address);
    }

    /// The recorded deliveries, one line each.
    pub fn trace_lines(&self) -> &[String] {
        &self.trace
    }

    /// The outcome of a caller's flow, or `None` while it lasts.
    pub fn flow_outcome(&self, caller: usize) -> Option<FlowOutcome> {
        self.callers[caller].outcome
    }

    /// The time from opening to completion of each completed flow of `range`, in milliseconds.
    pub fn durations_ms(&self, range: std::ops::Range<usize>) -> Vec<u64> {
        self.callers[range]
            .iter()
            .filter(|caller| caller.outcome == Some(FlowOutcome::Completed))
            .map(|caller| caller.ended_at_ms - caller.opened_at_ms)
            .collect()
    }

    /// The time from opening to establishment of each established flow of `range`, in milliseconds.
    pub fn waits_ms(&self, range: std::ops::Range<usize>) -> Vec<u64> {
        self.callers[range]
            .iter()
            .filter_map(|caller| Some(caller.established_at_ms? - caller.opened_at_ms))
            .collect()
    }

    /// Counts all flows by outcome.
    pub fn report(&self) -> Report {
        self.report_of(0..self.callers.len())
    }

    /// Counts the flows in `range` by outcome.
    pub fn report_of(&self, range: std::ops::Range<usize>) -> Report {
        let callers = &self.callers[range];
        let mut receiver_counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for target in &self.targets {
            for (caller, _) in &target.flows_with_data {
                *receiver_counts.entry(*caller).or_default() += 1;
            }
        }
        let receiver_count =
            |caller: &Caller| receiver_counts.get(&caller.address).copied().unwrap_or(0);
        let ended_with = |caller: &Caller, outcome| caller.outcome == Some(outcome);
        Report {
            started: callers.len(),
            established: count(callers, |caller| caller.established_at_ms.is_some()),
            completed: count(callers, |caller| ended_with(caller, FlowOutcome::Completed)),
            refused: count(callers, |caller| ended_with(caller, FlowOutcome::Refused)),
            broken: count(callers, |caller| {
                ended_with(caller, FlowOutcome::Broken) && caller.established_at_ms.is_some()
            }),
            unanswered: count(callers, |caller| {
                ended_with(caller, FlowOutcome::Broken) && caller.established_at_ms.is_none()
            }),
            whole: count(callers, |caller| caller.is_whole()),
            taken_twice: count(callers, |caller| receiver_count(caller) > 1),
            refused_but_taken: count(callers, |caller| {
                ended_with(caller, FlowOutcome::Refused) && receiver_count(caller) > 0
            }),
        }
    }
}

fn count(callers: &[Caller], predicate: impl Fn(&Caller) -> bool) -> usize {
    callers.iter().filter(|caller| predicate(caller)).count()
}
