//! Choice of an owner at the entry.

use crate::{
    class::LengthClass,
    digest::{Digest, ModelDigest},
    error::{Reason, Refusal, Result},
    job::PrefixHash,
};
use fastrand::Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::{DaemonId, DataCentreId, ModelId, RegionId, Tokens};

/// Age at which a digest is no longer believed.
const DIGEST_LIFETIME: Duration = Duration::from_secs(5);

/// Load that an owner may have beyond the mean before a prefix is sent to the
/// next owner in its order: a part of the mean and a fixed time.
const LOAD_BOUND: (f64, f64) = (1.25, 0.05);

/// Extra load that the own data centre may have before others are used, in
/// seconds.
const SPILL_SECONDS: f64 = 0.1;

/// Extra load that the own region may have before others are used, in seconds.
const REGION_SPILL_SECONDS: f64 = 2.0;

/// What an entry daemon needs to know of a request to choose its owner.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Model, or name of a plain service.
    pub model: ModelId,
    /// Hash of the first block of the prompt, if it is long enough to cache.
    pub prefix: Option<PrefixHash>,
    /// Estimated length of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens that the answer may have.
    pub max_output_tokens: Tokens,
    /// Owners that were tried already.
    pub avoid: Vec<DaemonId>,
}

/// Why an owner was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceReason {
    /// First in the prompt prefix's own order of owners.
    Prefix,
    /// Later in that order, because those before it have too much load.
    PrefixOverflow,
    /// The less loaded of two taken at random.
    TwoChoices,
}

/// The owner to ask.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Name of the daemon.
    pub owner: DaemonId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// Wait before the prefill that its last digest lets expect.
    pub predicted_wait: Duration,
}

/// How far away an owner is. Nearer compares less.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Distance {
    DataCentre,
    Region,
    Elsewhere,
}

/// One owner as seen for one model.
#[derive(Clone, Debug)]
struct View {
    daemon: DaemonId,
    data_centre: DataCentreId,
    hash: u64,
    distance: Distance,
    at: Instant,
    state: ModelDigest,
    /// Prompt tokens sent there since the digest.
    sent: Tokens,
}

impl View {
    /// Prefill work ahead of a new prompt, in seconds.
    fn load(&self, class: LengthClass) -> f64 {
        let rate = self.state.prefill_tokens_per_second.max(1) as f64;
        let reported = self.state.wait_micros[class.index()] as f64 / 1e6;
        reported + self.sent as f64 / rate
    }
}

/// The last digest of each owner, with what was sent there since.
#[derive(Debug)]
pub struct Digests {
    data_centre: DataCentreId,
    region: RegionId,
    versions: BTreeMap<DaemonId, (u64, u64)>,
    models: BTreeMap<ModelId, Vec<View>>,
    out_of_service: BTreeSet<DataCentreId>,
}

impl Digests {
    /// No digests yet, for an entry daemon in this data centre and region.
    pub fn new(data_centre: DataCentreId, region: RegionId) -> Self {
        Self {
            data_centre,
            region,
            versions: BTreeMap::new(),
            models: BTreeMap::new(),
            out_of_service: BTreeSet::new(),
        }
    }

    /// Takes in a digest. `false` if a newer one was known.
    pub fn update(&mut self, now: Instant, digest: Digest) -> bool {
        let version = (digest.incarnation, digest.sequence);
        if self.versions.get(&digest.daemon).is_some_and(|known| *known >= version) {
            return false;
        }
        self.forget(&digest.daemon);
        self.versions.insert(digest.daemon.clone(), version);
        if !digest.is_in_service {
            return true;
        }
        let distance = self.distance(&digest);
        let hash = hash_name(&digest.daemon);
        for state in digest.models {
            let views = self.models.entry(state.model.clone()).or_default();
            let (daemon, data_centre) = (digest.daemon.clone(), digest.data_centre.clone());
            let at = views.partition_point(|v| v.daemon < daemon);
            let view = View { daemon, data_centre, hash, distance, at: now, state, sent: 0 };
            views.insert(at, view);
        }
        true
    }

    /// Forgets an owner that is no longer in the roster.
    pub fn remove(&mut self, daemon: &DaemonId) {
        self.forget(daemon);
        self.versions.remove(daemon);
    }

    /// Sets whether operators have a data centre in service. This is known from
    /// the configuration and goes before what digests say.
    pub fn set_data_centre_in_service(&mut self, data_centre: &DataCentreId, is_in: bool) {
        if is_in {
            self.out_of_service.remove(data_centre);
        } else {
            self.out_of_service.insert(data_centre.clone());
        }
    }

    /// Counts a prompt sent to an owner until its next digest, so that a stale
    /// digest does not draw a herd.
    pub fn note_sent(&mut self, owner: &DaemonId, model: &ModelId, prompt_tokens: Tokens) {
        let Some(views) = self.models.get_mut(model) else { return };
        if let Ok(at) = views.binary_search_by(|v| v.daemon.cmp(owner)) {
            views[at].sent += prompt_tokens;
        }
    }

    fn forget(&mut self, daemon: &DaemonId) {
        for views in self.models.values_mut() {
            if let Ok(at) = views.binary_search_by(|v| v.daemon.cmp(daemon)) {
                views.remove(at);
            }
        }
        self.models.retain(|_, views| !views.is_empty());
    }

    fn distance(&self, digest: &Digest) -> Distance {
        if digest.data_centre == self.data_centre {
            Distance::DataCentre
        } else if digest.region == self.region {
            Distance::Region
        } else {
            Distance::Elsewhere
        }
    }

    fn is_usable(&self, now: Instant, view: &View, ask: &Ask) -> bool {
        let need = ask.prompt_tokens + ask.max_output_tokens;
        let reach = view.state.largest_memory_tokens.max(view.state.gang_tokens);
        view.state.serving > 0
            && need <= reach
            && now.saturating_duration_since(view.at) < DIGEST_LIFETIME
            && !ask.avoid.contains(&view.daemon)
            && !self.out_of_service.contains(&view.data_centre)
    }
}

/// Owners at one distance or nearer, summed up.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    owners: u32,
    serving: u64,
    load: f64,
}

impl Sum {
    fn add(&mut self, view: &View, load: f64) {
        self.owners += 1;
        self.serving += u64::from(view.state.serving);
        self.load += load;
    }

    fn mean(&self) -> f64 {
        self.load / f64::from(self.owners.max(1))
    }
}

/// Chooses the owner to ask for a request.
///
/// A prompt with a prefix goes to the first owner in an order that depends on
/// the prefix only (rendezvous hashing, weighted by upstreams in service) whose
/// load is within a bound of the mean. Without a prefix, the less loaded of two
/// taken at random. The own data centre goes before the rest of the region, and
/// that before other regions, unless it has clearly more load.
///
/// # Errors
///
/// [`Reason::NoUpstream`] if no owner in reach serves the model, and
/// [`Reason::TooLong`] if one does but none has enough memory.
pub fn choose_owner(digests: &Digests, now: Instant, ask: &Ask, rng: &mut Rng) -> Result<Choice> {
    let class = LengthClass::of(ask.prompt_tokens);
    let views = digests.models.get(&ask.model).map_or(&[][..], Vec::as_slice);
    let usable: Vec<(&View, f64)> = views
        .iter()
        .filter(|view| digests.is_usable(now, view, ask))
        .map(|view| (view, view.load(class)))
        .collect();
    let reach = reach(&usable).ok_or_else(|| no_owner(digests, now, views, ask))?;
    let near: Vec<(&View, f64)> =
        usable.into_iter().filter(|(view, _)| view.distance <= reach).collect();
    let (view, load, reason) = match ask.prefix {
        Some(prefix) => by_prefix(&near, prefix),
        None => of_two(&near, rng),
    };
    Ok(Choice {
        owner: view.daemon.clone(),
        data_centre: view.data_centre.clone(),
        reason,
        predicted_wait: Duration::from_secs_f64(load),
    })
}

/// The farthest distance to use, or none without any owner.
fn reach(usable: &[(&View, f64)]) -> Option<Distance> {
    let mut sums = [Sum::default(); 3];
    for (view, load) in usable {
        sums[view.distance as usize].add(view, *load);
    }
    let [own, region, elsewhere] = sums;
    let is_fine = |near: &Sum, far: &Sum, spill: f64| {
        near.owners > 0 && (far.owners == 0 || near.mean() <= far.mean() + spill)
    };
    if own.owners + region.owners + elsewhere.owners == 0 {
        None
    } else if is_fine(&own, &region, SPILL_SECONDS) {
        Some(Distance::DataCentre)
    } else if own.owners + region.owners > 0
        && (elsewhere.owners == 0
            || own.mean().max(region.mean()) <= elsewhere.mean() + REGION_SPILL_SECONDS)
    {
        Some(Distance::Region)
    } else {
        Some(Distance::Elsewhere)
    }
}

fn by_prefix<'a>(near: &[(&'a View, f64)], prefix: PrefixHash) -> (&'a View, f64, ChoiceReason) {
    let mean = near.iter().map(|(_, load)| load).sum::<f64>() / near.len() as f64;
    let bound = mean * LOAD_BOUND.0 + LOAD_BOUND.1;
    let score = |view: &View| {
        let h = mix(view.hash ^ prefix) >> 11;
        let uniform = (h as f64 + 0.5) / (1u64 << 53) as f64;
        f64::from(view.state.serving) / -uniform.ln()
    };
    let mut first = (near[0], f64::MIN);
    let mut within = (near[0], f64::MIN);
    for candidate in near {
        let score = score(candidate.0);
        if score > first.1 {
            first = (*candidate, score);
        }
        if candidate.1 <= bound && score > within.1 {
            within = (*candidate, score);
        }
    }
    let is_first = first.0.0.daemon == within.0.0.daemon;
    let reason = if is_first { ChoiceReason::Prefix } else { ChoiceReason::PrefixOverflow };
    (within.0.0, within.0.1, reason)
}

fn of_two<'a>(near: &[(&'a View, f64)], rng: &mut Rng) -> (&'a View, f64, ChoiceReason) {
    let total: u64 = near.iter().map(|(view, _)| u64::from(view.state.serving)).sum();
    let mut pick = || {
        let mut left = rng.u64(0..total.max(1));
        let found = near.iter().find(|(view, _)| {
            let serving = u64::from(view.state.serving);
            let is_here = left < serving;
            left = left.saturating_sub(serving);
            is_here
        });
        *found.unwrap_or(&near[0])
    };
    let (a, b) = (pick(), pick());
    let (view, load) = if b.1 < a.1 { b } else { a };
    (view, load, ChoiceReason::TwoChoices)
}

fn no_owner(digests: &Digests, now: Instant, views: &[View], ask: &Ask) -> Refusal {
    let short = Ask { prompt_tokens: 0, max_output_tokens: 0, ..ask.clone() };
    let any = views.iter().any(|view| digests.is_usable(now, view, &short));
    if any {
        Refusal::new(Reason::TooLong, Duration::from_secs(120))
    } else {
        Refusal::new(Reason::NoUpstream, Duration::from_secs(1))
    }
}

/// Hash of a daemon's name (FNV-1a), the same on every daemon.
fn hash_name(name: &str) -> u64 {
    let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    mix(name.bytes().fold(0xcbf2_9ce4_8422_2325, fold))
}

/// Finaliser of SplitMix64.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
