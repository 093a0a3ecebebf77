//! Choice of the owner of a request by the daemon that accepted it.

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

/// Age from which a digest is no longer considered valid.
const DIGEST_LIFETIME: Duration = Duration::from_secs(10);

/// Load up to which an owner receives the prompts of its prefixes: a multiple of the mean load,
/// and seconds added to it. Above that, a prompt goes to the next owner in the prefix's order.
const LOAD_BOUND: (f32, f32) = (1.25, 0.05);

/// Mean load of the own data centre above that of the rest of the region, in seconds, beyond which
/// the whole region is used.
const DATA_CENTRE_SPILL_SECONDS: f32 = 0.1;

/// Mean load of the own region above that of other regions, in seconds, beyond which other regions
/// are used.
const REGION_SPILL_SECONDS: f32 = 2.0;

/// Properties of a request that determine the choice of its owner.
#[derive(Clone, Debug)]
pub struct OwnerQuery {
    /// Model, or name of a plain service.
    pub model: ModelId,
    /// Hash of the first block of the prompt, if it is long enough to cache.
    pub prefix: Option<PrefixHash>,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: Tokens,
    /// Maximum length of the output, in tokens.
    pub max_output_tokens: Tokens,
    /// Owners of earlier attempts, which are not chosen again.
    pub avoid: Vec<DaemonId>,
}

/// Why an owner was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerChoiceReason {
    /// First in the order of owners that the prompt's prefix determines.
    Prefix,
    /// Later in that order, because the owners before it have too much load.
    PrefixOverflow,
    /// The less loaded of two owners picked at random.
    TwoChoices,
}

/// Owner that the entry daemon sends the job to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerChoice {
    /// Name of the owner's daemon.
    pub owner: DaemonId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Why it was chosen.
    pub reason: OwnerChoiceReason,
    /// Predicted wait before the prefill, from its last digest and the prompts sent since.
    pub predicted_wait: Duration,
}

/// Distance of an owner from the entry daemon, ordered from near to far.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Distance {
    DataCentre,
    Region,
    OtherRegion,
}

/// State of one owner for one model. It holds only what every choice reads, so that hundreds of
/// them fit into the processor's cache.
#[derive(Clone, Copy, Debug)]
struct OwnerState {
    /// Hash of the daemon's name.
    hash: u64,
    /// When the digest was received.
    received_at: Instant,
    /// Predicted wait for a new prompt of each class as of the digest, in seconds.
    wait_seconds: [f32; LENGTH_CLASS_COUNT],
    /// Prefill work that this daemon has sent there since the digest, in seconds.
    sent_since_digest: f32,
    upstreams_in_service: u32,
    /// Largest memory that one request can get, on one upstream or a gang, in tokens.
    largest_request_tokens: Tokens,
    distance: Distance,
    is_out_of_service: bool,
}

impl OwnerState {
    /// Load of the owner for a new prompt of this class: its predicted wait, in seconds.
    fn load(&self, class: LengthClass) -> f32 {
        self.wait_seconds[class.index()] + self.sent_since_digest
    }
}

/// Properties of an owner that are read only once it is chosen or updated.
#[derive(Clone, Debug)]
struct OwnerIdentity {
    daemon: DaemonId,
    data_centre: DataCentreId,
    prefill_tokens_per_second: Tokens,
}

/// The owners of one model. Both lists are parallel and sorted by the daemon's name.
#[derive(Debug, Default)]
struct Owners {
    identities: Vec<OwnerIdentity>,
    states: Vec<OwnerState>,
}

impl Owners {
    /// Index of an owner, or the index to insert it at.
    fn position(&self, daemon: &DaemonId) -> std::result::Result<usize, usize> {
        self.identities.binary_search_by(|identity| identity.daemon.cmp(daemon))
    }
}

/// The latest digest of each owner, with the work sent to it since.
#[derive(Debug)]
pub struct OwnerDigests {
    data_centre: DataCentreId,
    region: RegionId,
    /// Incarnation and sequence number of the latest digest of each owner.
    versions: BTreeMap<DaemonId, (u64, u64)>,
    models: BTreeMap<ModelId, Owners>,
    out_of_service: BTreeSet<DataCentreId>,
}

impl OwnerDigests {
    /// Creates an empty set for an entry daemon in this data centre and region.
    pub fn new(data_centre: DataCentreId, region: RegionId) -> Self {
        Self {
            data_centre,
            region,
            versions: BTreeMap::new(),
            models: BTreeMap::new(),
            out_of_service: BTreeSet::new(),
        }
    }

    /// Applies a digest. Returns `false` if this one or a newer one is already known.
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
            let Err(index) = owners.position(&digest.daemon) else { continue };
            owners.identities.insert(
                index,
                OwnerIdentity {
                    daemon: digest.daemon.clone(),
                    data_centre: digest.data_centre.clone(),
                    prefill_tokens_per_second: state.prefill_tokens_per_second,
                },
            );
            let state = OwnerState {
                hash,
                received_at: now,
                wait_seconds: state.wait_micros.map(|micros| micros as f32 / 1e6),
                sent_since_digest: 0.0,
                upstreams_in_service: state.upstreams_in_service,
                largest_request_tokens: state.largest_memory_tokens.max(state.largest_gang_tokens),
                distance,
                is_out_of_service,
            };
            owners.states.insert(index, state);
        }
        true
    }

    /// Removes an owner that is no longer in the roster.
    pub fn remove(&mut self, daemon: &DaemonId) {
        self.forget(daemon);
        self.versions.remove(daemon);
    }

    /// Sets whether operators have a data centre in service. This comes from the configuration
    /// and takes precedence over the digests.
    pub fn set_data_centre_in_service(&mut self, data_centre: &DataCentreId, is_in_service: bool) {
        if is_in_service {
            self.out_of_service.remove(data_centre);
        } else {
            self.out_of_service.insert(data_centre.clone());
        }
        for owners in self.models.values_mut() {
            for (state, identity) in owners.states.iter_mut().zip(&owners.identities) {
                if identity.data_centre == *data_centre {
                    state.is_out_of_service = !is_in_service;
                }
            }
        }
    }

    /// Adds a prompt sent to an owner to its load until its next digest. Otherwise all requests
    /// between two digests would go to the owner that was least loaded in the last one.
    pub fn record_sent(&mut self, owner: &DaemonId, model: &ModelId, prompt_tokens: Tokens) {
        let Some(owners) = self.models.get_mut(model) else { return };
        if let Ok(index) = owners.position(owner) {
            let rate = owners.identities[index].prefill_tokens_per_second.max(1);
            owners.states[index].sent_since_digest += prompt_tokens as f32 / rate as f32;
        }
    }

    /// Removes the state of an owner for all models.
    fn forget(&mut self, daemon: &DaemonId) {
        for owners in self.models.values_mut() {
            if let Ok(index) = owners.position(daemon) {
                owners.identities.remove(index);
                owners.states.remove(index);
            }
        }
        self.models.retain(|_, owners| !owners.states.is_empty());
    }

    fn distance(&self, digest: &OwnerDigest) -> Distance {
        if digest.data_centre == self.data_centre {
            Distance::DataCentre
        } else if digest.region == self.region {
            Distance::Region
        } else {
            Distance::OtherRegion
        }
    }
}

/// Whether an owner may be chosen for a request that needs this much memory. A digest received at
/// `oldest` or before is no longer valid.
fn is_usable(oldest: Option<Instant>, state: &OwnerState, need: Tokens) -> bool {
    state.upstreams_in_service > 0
        && need <= state.largest_request_tokens
        && !state.is_out_of_service
        && oldest.is_none_or(|oldest| state.received_at > oldest)
}

/// A usable owner with its index and its load in seconds.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    index: usize,
    state: &'a OwnerState,
    load: f32,
}

/// Total load of the owners at one distance.
#[derive(Clone, Copy, Debug, Default)]
struct LoadSum {
    owners: u32,
    load: f32,
}

impl LoadSum {
    fn mean(&self) -> f32 {
        self.load / self.owners.max(1) as f32
    }
}

/// Chooses the owner that places a request.
///
/// The prefix of a prompt determines an order of owners (rendezvous hashing, weighted by upstreams
/// in service), so that prompts with the same prefix find it in a cache. The prompt goes to the
/// first owner in this order whose load is within a bound of the mean. Without a prefix, it goes
/// to the less loaded of two owners picked at random. Owners outside the own data centre, and
/// outside the own region, are used only if the nearer ones have clearly more load or there are
/// none.
///
/// # Errors
///
/// [`RefusalReason::NoUpstream`] if no usable owner serves the model, and
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
        |i: usize| !query.avoid.is_empty() && query.avoid.contains(&owners.identities[i].daemon);
    let oldest = now.checked_sub(DIGEST_LIFETIME);
    let usable = owners
        .states
        .iter()
        .enumerate()
        .filter(|(index, state)| is_usable(oldest, state, need) && !is_avoided(*index))
        .map(|(index, state)| Candidate { index, state, load: state.load(class) });
    let mut near: Vec<Candidate> = Vec::with_capacity(owners.states.len());
    near.extend(usable);
    let Some(farthest) = farthest(&near) else {
        let mut states = owners.states.iter().enumerate();
        let any = states.any(|(index, state)| is_usable(oldest, state, 0) && !is_avoided(index));
        return Err(if any { PROMPT_TOO_LONG } else { NO_UPSTREAM });
    };
    near.retain(|candidate| candidate.state.distance <= farthest);
    let (chosen, reason) = match query.prefix {
        Some(prefix) => by_prefix(&near, prefix),
        None => (by_two_choices(&near, rng), OwnerChoiceReason::TwoChoices),
    };
    let identity = &owners.identities[chosen.index];
    Ok(OwnerChoice {
        owner: identity.daemon.clone(),
        data_centre: identity.data_centre.clone(),
        reason,
        predicted_wait: Duration::from_secs_f32(chosen.load),
    })
}

/// Refusal when no usable owner serves the model.
const NO_UPSTREAM: Refusal =
    Refusal { reason: RefusalReason::NoUpstream, retry_after: Duration::from_secs(1) };
/// Refusal when no usable owner has enough memory for the prompt and the output.
const PROMPT_TOO_LONG: Refusal =
    Refusal { reason: RefusalReason::PromptTooLong, retry_after: Duration::from_secs(120) };

/// The farthest distance to use, or `None` if no owner is usable.
fn farthest(usable: &[Candidate]) -> Option<Distance> {
    let mut sums = [LoadSum::default(); 3];
    for candidate in usable {
        let sum = &mut sums[candidate.state.distance as usize];
        sum.owners += 1;
        sum.load += candidate.load;
    }
    let [own, region, other_regions] = sums;
    let nearby = LoadSum { owners: own.owners + region.owners, load: own.load + region.load };
    let is_sufficient = |near: &LoadSum, far: &LoadSum, spill: f32| {
        near.owners > 0 && (far.owners == 0 || near.mean() <= far.mean() + spill)
    };
    if usable.is_empty() {
        None
    } else if !is_sufficient(&nearby, &other_regions, REGION_SPILL_SECONDS) {
        Some(Distance::OtherRegion)
    } else if !is_sufficient(&own, &region, DATA_CENTRE_SPILL_SECONDS) {
        Some(Distance::Region)
    } else {
        Some(Distance::DataCentre)
    }
}

/// Chooses the first owner with an acceptable load in the order that the prefix determines. The
/// score `weight / -ln(uniform hash)` is that of weighted rendezvous hashing.
fn by_prefix<'a>(near: &[Candidate<'a>], prefix: PrefixHash) -> (Candidate<'a>, OwnerChoiceReason) {
    let mean = near.iter().map(|candidate| candidate.load).sum::<f32>() / near.len() as f32;
    let bound = mean * LOAD_BOUND.0 + LOAD_BOUND.1;
    let score = |state: &OwnerState| {
        let h = mix(state.hash ^ prefix) >> 11;
        let uniform = (h as f64 + 0.5) / (1u64 << 53) as f64;
        f64::from(state.upstreams_in_service) / -uniform.ln()
    };
    let mut preferred = (near[0], f64::MIN);
    let mut within = (near[0], f64::MIN);
    for candidate in near {
        let score = score(candidate.state);
        if score > preferred.1 {
            preferred = (*candidate, score);
        }
        if candidate.load <= bound && score > within.1 {
            within = (*candidate, score);
        }
    }
    let is_first = preferred.0.index == within.0.index;
    let reason =
        if is_first { OwnerChoiceReason::Prefix } else { OwnerChoiceReason::PrefixOverflow };
    (within.0, reason)
}

/// Chooses the less loaded of two owners, each picked at random with a probability proportional to
/// its upstreams in service.
fn by_two_choices<'a>(near: &[Candidate<'a>], rng: &mut Rng) -> Candidate<'a> {
    let total: u64 =
        near.iter().map(|candidate| u64::from(candidate.state.upstreams_in_service)).sum();
    let mut pick = || {
        let mut remaining = rng.u64(0..total.max(1));
        let found = near.iter().find(|candidate| {
            let upstreams_in_service = u64::from(candidate.state.upstreams_in_service);
            let is_picked = remaining < upstreams_in_service;
            remaining = remaining.saturating_sub(upstreams_in_service);
            is_picked
        });
        *found.unwrap_or(&near[0])
    };
    let (a, b) = (pick(), pick());
    if b.load < a.load { b } else { a }
}

/// Hash of a daemon's name (FNV-1a), which must be the same on every daemon.
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
