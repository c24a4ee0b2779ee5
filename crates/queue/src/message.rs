//! Messages as clients handed them in: the envelope, and the body with a digest of it.
use crate::WallMs;
use borsh::{BorshDeserialize, BorshSerialize};
use std::rc::Rc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// All that is known of a message but its body.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Envelope {
    /// The request's id; the message goes by it everywhere.
    pub id: String,
    pub host: String,
    pub method: String,
    /// Path with query.
    pub target: String,
    pub content_type: String,
    /// The tenant whose key the request had; none where it needed no key.
    pub tenant: Option<String>,
    /// Names the operation: all requests of a tenant with one such key are one message.
    pub operation_key: Option<String>,
    /// What it is about, as the client says.
    pub key: Option<String>,
    /// It runs only once all of its tenant and key that were taken before it have ended.
    pub ordered: bool,
    /// Its place among the messages of its key: rises with each that an owner takes, and from owner to owner.
    pub sequence: u64,
    pub callback: Option<String>,
    pub route: String,
    /// The version of the configuration by which it was taken.
    pub config_version: u64,
    pub received_at: WallMs,
    /// Not to run earlier.
    pub due_at: WallMs,
    /// Milliseconds after it fell due in which a run is to begin.
    pub target_start_ms: u64,
    /// Disks of stores that were given it before without a clear answer: they leave it to this one.
    pub also_sent_to: Vec<u64>,
    /// It ends then, run or not.
    pub expires_at: WallMs,
}

impl Envelope {
    /// The key by which order is kept, if it is: among all messages of one tenant and key, whatever their routes.
    pub fn ordering_key(&self) -> Option<TenantKey> {
        let key = self.key.as_ref().filter(|_| self.ordered)?;
        Some(self.tenant_key(key))
    }

    /// The key by which repeats of one operation are known, if the client gave one.
    pub fn operation(&self) -> Option<TenantKey> {
        self.operation_key.as_ref().map(|key| self.tenant_key(key))
    }

    /// The key that says which store takes the message, if not every store may: all requests of one operation have to meet
    /// at one store, and all messages of one ordering key, whether the route is known as ordered by then or not.
    pub fn partition_key(&self) -> Option<TenantKey> {
        match &self.key {
            Some(key) => Some(self.tenant_key(key)),
            None => self.operation(),
        }
    }

    /// The operation key is to be known for as long as ends are.
    pub fn has_operation_key(&self) -> bool {
        self.operation_key.is_some()
    }

    fn tenant_key(&self, key: &str) -> TenantKey {
        TenantKey { tenant: self.tenant.clone().unwrap_or_default(), key: key.to_string() }
    }
}

/// A key that a client chose. Keys of different tenants are different.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey {
    /// The tenant's name; empty where the request needed none.
    pub tenant: String,
    pub key: String,
}

impl TenantKey {
    /// A digest that is the same on all machines.
    pub fn digest(&self) -> u64 {
        xxh3_64_with_seed(self.key.as_bytes(), xxh3_64(self.tenant.as_bytes()))
    }
}

/// The bytes of a message, with a digest of them and of the message's id that was made when the message was taken. They
/// can be read only through a check against that digest.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Body {
    digest: u64,
    bytes: Vec<u8>,
}

/// A body's bytes aren't those that were taken for its message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedBody {
    pub id: String,
    pub length: usize,
}

impl std::fmt::Display for DamagedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let DamagedBody { id, length } = self;
        write!(
            f,
            "the body of message {id} ({length} bytes here) doesn't match the digest made when it was taken; \
             check the disk and the memory of this store"
        )
    }
}

impl std::error::Error for DamagedBody {}

impl Body {
    /// The body of the message with this id, as it is taken.
    pub fn new(id: &str, bytes: Vec<u8>) -> Body {
        Body { digest: digest(id, &bytes), bytes }
    }

    /// The bytes, if they are those that were taken for the message with this id.
    pub fn verified(&self, id: &str) -> Result<&[u8], DamagedBody> {
        if self.digest == digest(id, &self.bytes) {
            return Ok(&self.bytes);
        }
        Err(DamagedBody { id: id.to_string(), length: self.bytes.len() })
    }

    /// How many bytes it has.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the client sent no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

fn digest(id: &str, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, xxh3_64(id.as_bytes()))
}

/// A whole message. Clones share the envelope and the body.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Message {
    pub envelope: Rc<Envelope>,
    pub body: Rc<Body>,
}

impl Message {
    /// A message as it is taken.
    pub fn new(envelope: Envelope, bytes: Vec<u8>) -> Message {
        let body = Rc::new(Body::new(&envelope.id, bytes));
        Message { envelope: Rc::new(envelope), body }
    }

    /// The request's id.
    pub fn id(&self) -> &str {
        &self.envelope.id
    }

    /// The bytes that the client sent.
    pub fn verified_body(&self) -> Result<&[u8], DamagedBody> {
        self.body.verified(&self.envelope.id)
    }
}
