//! Choice of an owner at the entry.

use crate::{
    class::{LENGTH_CLASS_COUNT, LengthClass},
    digest::OwnerDigest,
    error::{Refusal, RefusalReason, Result},
    job::PrefixHash,
};
use fastrand::Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::{DaemonId, DataCentreId, ModelId, RegionId, Tokens};

/// Age at which a digest is no longer believed.
const DIGEST_LIFETIME: Duration = Duration::from_secs(10);

/// Load that an owner may have beyond the mean before a prefix is sent to the
/// next owner in its order: a part of the mean and a fixed time.
const LOAD_BOUND: (f32, f32) = (1.25, 0.05);

/// Extra load that the own data centre may have before others are used, in
/// seconds.
const SPILL_SECONDS: f32 = 0.1;

/// Extra load that the own region may have before others are used, in seconds.
const REGION_SPILL_SECONDS: f32 = 2.0;

/// What an entry daemon needs to know of a request to choose its owner.
#[derive(Clone, Debug)]
pub struct OwnerQuery {
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
pub enum OwnerChoiceReason {
    /// First in the prompt prefix's own order of owners.
    Prefix,
    /// Later in that order, because those before it have too much load.
    PrefixOverflow,
    /// The less loaded of two taken at random.
    TwoChoices,
}

/// The owner to ask.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerChoice {
    /// Name of the daemon.
    pub owner: DaemonId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Why it was chosen.
    pub reason: OwnerChoiceReason,
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

/// One owner as seen for one model: what each choice looks at, kept small so
/// that hundreds fit into the processor's cache.
#[derive(Clone, Copy, Debug)]
struct View {
    hash: u64,
    at: Instant,
    /// Prefill work ahead by class as of the digest, in seconds.
    wait: [f32; LENGTH_CLASS_COUNT],
    /// Work sent there since the digest, in seconds.
    sent: f32,
    serving: u32,
    reach: Tokens,
    distance: Distance,
    is_out_of_service: bool,
}

impl View {
    /// Prefill work ahead of a new prompt, in seconds.
    fn load(&self, class: LengthClass) -> f32 {
        self.wait[class.index()] + self.sent
    }
}

/// What is needed of an owner only once it is chosen.
#[derive(Clone, Debug)]
struct Name {
    daemon: DaemonId,
    data_centre: DataCentreId,
    prefill_tokens_per_second: Tokens,
}

/// The owners of one model, in the order of their names.
#[derive(Debug, Default)]
struct Owners {
    names: Vec<Name>,
    views: Vec<View>,
}

impl Owners {
    fn position(&self, daemon: &DaemonId) -> std::result::Result<usize, usize> {
        self.names.binary_search_by(|name| name.daemon.cmp(daemon))
    }
}

/// The last digest of each owner, with what was sent there since.
#[derive(Debug)]
pub struct OwnerDigests {
    data_centre: DataCentreId,
    region: RegionId,
    versions: BTreeMap<DaemonId, (u64, u64)>,
    models: BTreeMap<ModelId, Owners>,
    out_of_service: BTreeSet<DataCentreId>,
}

impl OwnerDigests {
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
    pub fn update(&mut self, now: Instant, digest: OwnerDigest) -> bool {
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
        let is_out_of_service = self.out_of_service.contains(&digest.data_centre);
        for state in digest.models {
            let owners = self.models.entry(state.model).or_default();
            let Err(at) = owners.position(&digest.daemon) else { continue };
            owners.names.insert(
                at,
                Name {
                    daemon: digest.daemon.clone(),
                    data_centre: digest.data_centre.clone(),
                    prefill_tokens_per_second: state.prefill_tokens_per_second,
                },
            );
            let view = View {
                hash,
                at: now,
                wait: state.wait_micros.map(|micros| micros as f32 / 1e6),
                sent: 0.0,
                serving: state.upstreams_in_service,
                reach: state.largest_memory_tokens.max(state.largest_gang_tokens),
                distance,
                is_out_of_service,
            };
            owners.views.insert(at, view);
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
        for owners in self.models.values_mut() {
            for (view, name) in owners.views.iter_mut().zip(&owners.names) {
                if name.data_centre == *data_centre {
                    view.is_out_of_service = !is_in;
                }
            }
        }
    }

    /// Counts a prompt sent to an owner until its next digest, so that a stale
    /// digest does not draw a herd.
    pub fn record_sent(&mut self, owner: &DaemonId, model: &ModelId, prompt_tokens: Tokens) {
        let Some(owners) = self.models.get_mut(model) else { return };
        if let Ok(at) = owners.position(owner) {
            let rate = owners.names[at].prefill_tokens_per_second.max(1);
            owners.views[at].sent += prompt_tokens as f32 / rate as f32;
        }
    }

    fn forget(&mut self, daemon: &DaemonId) {
        for owners in self.models.values_mut() {
            if let Ok(at) = owners.position(daemon) {
                owners.names.remove(at);
                owners.views.remove(at);
            }
        }
        self.models.retain(|_, owners| !owners.views.is_empty());
    }

    fn distance(&self, digest: &OwnerDigest) -> Distance {
        if digest.data_centre == self.data_centre {
            Distance::DataCentre
        } else if digest.region == self.region {
            Distance::Region
        } else {
            Distance::Elsewhere
        }
    }
}

/// Whether an owner may be chosen for a need of memory, if its digest is newer
/// than the oldest to believe.
fn is_usable(oldest: Option<Instant>, view: &View, need: Tokens) -> bool {
    view.serving > 0
        && need <= view.reach
        && !view.is_out_of_service
        && oldest.is_none_or(|oldest| view.at > oldest)
}

/// A usable owner: its position and its load in seconds.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    at: usize,
    view: &'a View,
    load: f32,
}

/// Owners at one distance, summed up.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    owners: u32,
    load: f32,
}

impl Sum {
    fn mean(&self) -> f32 {
        self.load / self.owners.max(1) as f32
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
/// [`RefusalReason::NoUpstream`] if no owner in reach serves the model, and
/// [`RefusalReason::PromptTooLong`] if one does but none has enough memory.
pub fn choose_owner(
    digests: &OwnerDigests,
    now: Instant,
    query: &OwnerQuery,
    rng: &mut Rng,
) -> Result<OwnerChoice> {
    let class = LengthClass::of(query.prompt_tokens);
    let need = query.prompt_tokens + query.max_output_tokens;
    let owners = digests.models.get(&query.model).ok_or(NO_UPSTREAM)?;
    let is_avoided =
        |at: usize| !query.avoid.is_empty() && query.avoid.contains(&owners.names[at].daemon);
    let oldest = now.checked_sub(DIGEST_LIFETIME);
    let usable = owners
        .views
        .iter()
        .enumerate()
        .filter(|(at, view)| is_usable(oldest, view, need) && !is_avoided(*at))
        .map(|(at, view)| Candidate { at, view, load: view.load(class) });
    let mut near: Vec<Candidate> = Vec::with_capacity(owners.views.len());
    near.extend(usable);
    let Some(farthest) = farthest(&near) else {
        let mut views = owners.views.iter().enumerate();
        let any = views.any(|(at, view)| is_usable(oldest, view, 0) && !is_avoided(at));
        return Err(if any { TOO_LONG } else { NO_UPSTREAM });
    };
    near.retain(|candidate| candidate.view.distance <= farthest);
    let (chosen, reason) = match query.prefix {
        Some(prefix) => by_prefix(&near, prefix),
        None => (of_two(&near, rng), OwnerChoiceReason::TwoChoices),
    };
    let name = &owners.names[chosen.at];
    Ok(OwnerChoice {
        owner: name.daemon.clone(),
        data_centre: name.data_centre.clone(),
        reason,
        predicted_wait: Duration::from_secs_f32(chosen.load),
    })
}

const NO_UPSTREAM: Refusal =
    Refusal { reason: RefusalReason::NoUpstream, retry_after: Duration::from_secs(1) };
const TOO_LONG: Refusal =
    Refusal { reason: RefusalReason::PromptTooLong, retry_after: Duration::from_secs(120) };

/// The farthest distance to use, or none without any owner.
fn farthest(usable: &[Candidate]) -> Option<Distance> {
    let mut sums = [Sum::default(); 3];
    for candidate in usable {
        let sum = &mut sums[candidate.view.distance as usize];
        sum.owners += 1;
        sum.load += candidate.load;
    }
    let [own, region, elsewhere] = sums;
    let both = Sum { owners: own.owners + region.owners, load: own.load + region.load };
    let is_fine = |near: &Sum, far: &Sum, spill: f32| {
        near.owners > 0 && (far.owners == 0 || near.mean() <= far.mean() + spill)
    };
    if usable.is_empty() {
        None
    } else if !is_fine(&both, &elsewhere, REGION_SPILL_SECONDS) {
        Some(Distance::Elsewhere)
    } else if !is_fine(&own, &region, SPILL_SECONDS) {
        Some(Distance::Region)
    } else {
        Some(Distance::DataCentre)
    }
}

fn by_prefix<'a>(near: &[Candidate<'a>], prefix: PrefixHash) -> (Candidate<'a>, OwnerChoiceReason) {
    let mean = near.iter().map(|candidate| candidate.load).sum::<f32>() / near.len() as f32;
    let bound = mean * LOAD_BOUND.0 + LOAD_BOUND.1;
    let score = |view: &View| {
        let h = mix(view.hash ^ prefix) >> 11;
        let uniform = (h as f64 + 0.5) / (1u64 << 53) as f64;
        f64::from(view.serving) / -uniform.ln()
    };
    let mut first = (near[0], f64::MIN);
    let mut within = (near[0], f64::MIN);
    for candidate in near {
        let score = score(candidate.view);
        if score > first.1 {
            first = (*candidate, score);
        }
        if candidate.load <= bound && score > within.1 {
            within = (*candidate, score);
        }
    }
    let is_first = first.0.at == within.0.at;
    let reason =
        if is_first { OwnerChoiceReason::Prefix } else { OwnerChoiceReason::PrefixOverflow };
    (within.0, reason)
}

/// The less loaded of two taken at random, by their upstreams in service.
fn of_two<'a>(near: &[Candidate<'a>], rng: &mut Rng) -> Candidate<'a> {
    let total: u64 = near.iter().map(|candidate| u64::from(candidate.view.serving)).sum();
    let mut pick = || {
        let mut left = rng.u64(0..total.max(1));
        let found = near.iter().find(|candidate| {
            let serving = u64::from(candidate.view.serving);
            let is_here = left < serving;
            left = left.saturating_sub(serving);
            is_here
        });
        *found.unwrap_or(&near[0])
    };
    let (a, b) = (pick(), pick());
    if b.load < a.load { b } else { a }
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
