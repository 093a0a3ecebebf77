//! Links to the control daemons of a deployment, each through a proxy of its own.

use crate::region::Region;
use fake::FaultProxy;
use std::{mem, net::SocketAddr, time::Instant};

/// How a VM is reached.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Reach {
    Accepts,
    Refuses,
    /// It neither accepts nor refuses connections, and those that are open hang.
    Dark,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Open,
    Refused,
    Silent { requests: bool, responses: bool },
}

/// Links from one VM to the other that drop all bytes for a time.
struct Cut {
    links: Vec<(usize, usize)>,
    since: Instant,
    until: Instant,
}

/// Links by the VMs that connect and accept, of which the entries connect as one.
pub(crate) struct Links {
    proxies: Vec<Vec<FaultProxy>>,
    states: Vec<Vec<State>>,
    cuts: Vec<Cut>,
    /// Links that are cut or end at a dark VM, as of the last [`Links::apply`].
    broken: Vec<Vec<bool>>,
    rng: fastrand::Rng,
}

impl Links {
    /// Leads the links of a region with this number of control daemons and entries through proxies.
    pub(crate) fn start(
        region: &mut Region,
        controls: usize,
        entries: usize,
        rng: fastrand::Rng,
    ) -> Self {
        let addresses: Vec<SocketAddr> = (0..controls).map(|i| region.links_address(i)).collect();
        let proxy = |address: &SocketAddr| FaultProxy::start(*address).expect("a port");
        let row = |_| addresses.iter().map(proxy).collect();
        let proxies: Vec<Vec<FaultProxy>> = (0..=controls).map(row).collect();
        for i in 0..controls + entries {
            let own = proxies[i.min(controls)].iter().map(FaultProxy::address);
            let own_address = region.links_address(i);
            let routes = addresses.iter().copied().zip(own).filter(|(to, _)| *to != own_address);
            region.set_routes(i, routes.collect());
        }
        let states = vec![vec![State::Open; controls]; controls + 1];
        let broken = vec![vec![false; controls + 1]; controls + 1];
        Self { proxies, states, cuts: Vec::new(), broken, rng }
    }

    pub(crate) fn proxies(&self) -> impl Iterator<Item = &FaultProxy> {
        self.proxies.iter().flatten()
    }

    /// Proxies on the links from and to a VM.
    pub(crate) fn proxies_of(&self, i: usize) -> impl Iterator<Item = &FaultProxy> {
        self.proxies.iter().map(move |row| &row[i]).chain(&self.proxies[i])
    }

    /// Cuts links between these times, at the next [`Links::apply`] each.
    pub(crate) fn cut(
        &mut self,
        since: Instant,
        until: Instant,
        is_cut: impl Fn(usize, usize) -> bool,
    ) {
        let controls = self.proxies.len() - 1;
        let pairs = (0..controls).flat_map(|from| (0..controls).map(move |to| (from, to)));
        let links = pairs.filter(|(from, to)| is_cut(*from, *to)).collect();
        self.cuts.push(Cut { links, since, until });
    }

    /// Whether any link is cut, or will be.
    pub(crate) fn are_cut(&self) -> bool {
        !self.cuts.is_empty()
    }

    /// Whether bytes reach either VM from the other.
    pub(crate) fn are_open(&self, a: usize, b: usize) -> bool {
        !self.broken[a][b] && !self.broken[b][a]
    }

    /// Heals the cuts that have lasted long enough, and brings the proxies in line with the others and with how
    /// VMs are reached.
    pub(crate) fn apply(&mut self, now: Instant, reach: impl Fn(usize) -> Reach) {
        self.cuts.retain(|cut| cut.until > now);
        let count = self.proxies.len();
        for (from, to) in (0..count).flat_map(|from| (0..count).map(move |to| (from, to))) {
            let is_dark = [from, to].iter().any(|i| reach(*i) == Reach::Dark);
            let is_cut = |cut: &Cut| cut.since <= now && cut.links.contains(&(from, to));
            self.broken[from][to] = is_dark || self.cuts.iter().any(is_cut);
        }
        for (from, to) in (0..count).flat_map(|from| (0..count - 1).map(move |to| (from, to))) {
            let wanted = match (self.broken[from][to], self.broken[to][from]) {
                (false, false) if reach(to) == Reach::Accepts => State::Open,
                (false, false) => State::Refused,
                (requests, responses) => State::Silent { requests, responses },
            };
            if mem::replace(&mut self.states[from][to], wanted) != wanted {
                change(&self.proxies[from][to], wanted, self.rng.bool());
            }
        }
    }
}

/// Brings a proxy into this state. `resets` says whether connections that were silent end with that; otherwise
/// they stay silent for good, as bytes of theirs are lost.
fn change(proxy: &FaultProxy, state: State, resets: bool) {
    match state {
        State::Open | State::Refused => proxy.open().expect("the port is still free"),
        State::Silent { requests, responses } => {
            if requests {
                proxy.silence_requests();
            }
            if responses {
                proxy.silence_responses();
            }
            proxy.hang_new().expect("the port is still free");
        }
    }
    match state {
        State::Refused => proxy.close(),
        State::Open if resets => proxy.cut(),
        State::Open | State::Silent { .. } => {}
    }
}
