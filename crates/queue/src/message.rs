//! Messages as received from clients: an envelope, and a body with its digest.
use crate::WallMs;
use borsh::{BorshDeserialize, BorshSerialize};
use settings::Destination;
use std::rc::Rc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Everything about a message except its body.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    /// The id of the request, which identifies the message everywhere.
    pub id: String,
    pub host: String,
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    pub content_type: String,
    /// The tenant that the API key of the request belongs to; `None` if no key was required.
    pub tenant: Option<String>,
    /// Identifies the operation: all requests of a tenant with the same key are one message.
    pub operation_key: Option<String>,
    /// The ordering key that the client chose.
    pub key: Option<String>,
    /// It runs only after all earlier messages of its tenant and key have finished.
    pub ordered: bool,
    /// Position among the messages of its key. It increases with each message that an owner accepts, and from
    /// one owner to the next.
    pub sequence: u64,
    /// URL to notify of the outcome.
    pub callback: Option<String>,
    /// Name that the message's route had when it was received. It identifies no route: a later configuration may give
    /// it to another one. Host and target tell which route the message belongs to.
    pub route: String,
    /// Version of the configuration under which the message was received.
    pub config_version: u64,
    /// When the edge received the request.
    pub received_at: WallMs,
    /// Earliest time to run.
    pub due_at: WallMs,
    /// Target time in milliseconds between the due time and the start of a run.
    pub target_start_ms: u64,
    /// Disks of stores that the edge sent the message to earlier, without a clear answer. They have to
    /// relinquish it to this store.
    pub also_sent_to: Vec<u64>,
    /// The message becomes a dead letter at this time if it has not finished.
    pub expires_at: WallMs,
}

impl Envelope {
    /// Host and path of the request, by which its route is selected.
    pub fn destination(&self) -> Destination<'_> {
        Destination { host: &self.host, path: self.target.split('?').next().unwrap_or_default() }
    }

    /// The key within which order is kept, if the message is ordered. It spans all routes.
    pub fn ordering_key(&self) -> Option<TenantKey> {
        let key = self.key.as_ref().filter(|_| self.ordered)?;
        Some(self.tenant_key(key))
    }

    /// The key that identifies repeats of the operation, if the client sent one.
    pub fn operation(&self) -> Option<TenantKey> {
        self.operation_key.as_ref().map(|key| self.tenant_key(key))
    }

    /// The key that determines the store which accepts the message; `None` if any store may. It brings all
    /// requests of one operation to the same store, and all messages of one ordering key, even if their route
    /// is not ordered yet.
    pub fn partition_key(&self) -> Option<TenantKey> {
        match &self.key {
            Some(key) => Some(self.tenant_key(key)),
            None => self.operation(),
        }
    }

    /// Whether the message carries an operation key, which must be recognized as long as final records are
    /// kept.
    pub fn has_operation_key(&self) -> bool {
        self.operation_key.is_some()
    }

    fn tenant_key(&self, key: &str) -> TenantKey {
        TenantKey { tenant: self.tenant.clone().unwrap_or_default(), key: key.to_string() }
    }
}

/// A key chosen by a client. Each tenant has its own key space.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey {
    /// Name of the tenant; empty if the request needed no API key.
    pub tenant: String,
    pub key: String,
}

impl TenantKey {
    /// A digest that is the same on all machines.
    pub fn digest(&self) -> u64 {
        xxh3_64_with_seed(self.key.as_bytes(), xxh3_64(self.tenant.as_bytes()))
    }
}

/// The bytes of a message, with a digest of these bytes and of the message id, computed when the message was
/// received. They can only be read by verifying that digest.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Body {
    digest: u64,
    bytes: Vec<u8>,
}

/// Error: the bytes of a body do not match the digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedBody {
    pub id: String,
    /// Number of bytes found.
    pub length: usize,
}

impl std::fmt::Display for DamagedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let DamagedBody { id, length } = self;
        write!(
            f,
            "the body of message {id} ({length} bytes here) doesn't match the digest made when it was received; \
             check the disk and the memory of this store"
        )
    }
}

impl std::error::Error for DamagedBody {}

impl Body {
    /// The body of a new message with this id.
    pub fn new(id: &str, bytes: Vec<u8>) -> Body {
        Body { digest: digest(id, &bytes), bytes }
    }

    /// The bytes, if they match the digest for the message with this id.
    pub fn verified(&self, id: &str) -> Result<&[u8], DamagedBody> {
        if self.digest == digest(id, &self.bytes) {
            return Ok(&self.bytes);
        }
        Err(DamagedBody { id: id.to_string(), length: self.bytes.len() })
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

fn digest(id: &str, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, xxh3_64(id.as_bytes()))
}

/// A message with its body. Clones share the envelope and the body.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Message {
    pub envelope: Rc<Envelope>,
    pub body: Rc<Body>,
}

impl Message {
    /// A new message.
    pub fn new(envelope: Envelope, bytes: Vec<u8>) -> Message {
        let body = Rc::new(Body::new(&envelope.id, bytes));
        Message { envelope: Rc::new(envelope), body }
    }

    /// The id of the request.
    pub fn id(&self) -> &str {
        &self.envelope.id
    }

    /// The bytes of the body, if they match the digest.
    pub fn verified_body(&self) -> Result<&[u8], DamagedBody> {
        self.body.verified(&self.envelope.id)
    }
}
