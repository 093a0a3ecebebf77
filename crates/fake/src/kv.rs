//! KV caches that are kept after the end of their request, or imported from another engine.

use crate::text::PromptDigest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wire::{FencingToken, RequestId, Tokens};

/// A KV cache as it is transferred from one engine to another.
///
/// It covers all segments of the prompt so far. The engine that exported it keeps its memory
/// until the handle is released there.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct KvState {
    /// Id of the request that produced it.
    pub(crate) handle: RequestId,
    /// Length of the prompt so far, over all segments.
    pub(crate) tokens: Tokens,
    /// Digest of the prompt so far.
    pub(crate) digest: u64,
}

impl KvState {
    pub(crate) fn digest(&self) -> PromptDigest {
        PromptDigest(self.digest)
    }
}

/// A KV cache that holds memory of this engine.
#[derive(Debug)]
pub(crate) struct RetainedKv {
    pub(crate) state: KvState,
    /// KV memory that it holds, in tokens.
    pub(crate) memory_tokens: Tokens,
    /// Fencing token of the request that produced it, if it had one.
    pub(crate) fence: Option<FencingToken>,
}

/// The KV caches of an engine, by handle.
#[derive(Debug, Default)]
pub(crate) struct KvStore {
    /// Caches of requests that this engine ran.
    pub(crate) retained: BTreeMap<RequestId, RetainedKv>,
    /// Caches from other engines, which hold no memory here.
    pub(crate) imported: BTreeMap<RequestId, KvState>,
}

impl KvStore {
    /// KV memory that the retained caches hold, in tokens.
    pub(crate) fn memory_used(&self) -> Tokens {
        self.retained.values().map(|retained| retained.memory_tokens).sum()
    }

    /// Releases a retained or imported cache, and returns whether there was one.
    pub(crate) fn release(&mut self, handle: &str) -> bool {
        let retained = self.retained.remove(handle).is_some();
        let imported = self.imported.remove(handle).is_some();
        retained || imported
    }
}
