//! KV caches that outlive their request, or that came from another engine.

use crate::text::Digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wire::{FencingToken, RequestId, Tokens};

/// A KV cache on its way from one engine to another.
///
/// It stands for all segments so far: the exporter keeps its memory until the
/// handle is released there.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct KvState {
    /// Id of the request that left it behind.
    pub(crate) handle: RequestId,
    /// Tokens of the prompt so far, over all segments.
    pub(crate) tokens: Tokens,
    pub(crate) digest: u64,
}

impl KvState {
    pub(crate) fn digest(&self) -> Digest {
        Digest(self.digest)
    }
}

/// A KV cache that holds memory of this engine.
#[derive(Debug)]
pub(crate) struct Retained {
    pub(crate) state: KvState,
    pub(crate) memory: Tokens,
    pub(crate) fence: Option<FencingToken>,
}

/// The KV caches of an engine, by handle.
#[derive(Debug, Default)]
pub(crate) struct KvStore {
    pub(crate) retained: BTreeMap<RequestId, Retained>,
    pub(crate) imported: BTreeMap<RequestId, KvState>,
}

impl KvStore {
    /// Memory that the retained caches hold.
    pub(crate) fn memory(&self) -> Tokens {
        self.retained.values().map(|retained| retained.memory).sum()
    }

    /// Releases a cache, own or imported, and says whether there was one.
    pub(crate) fn release(&mut self, handle: &str) -> bool {
        let retained = self.retained.remove(handle).is_some();
        let imported = self.imported.remove(handle).is_some();
        retained || imported
    }
}
