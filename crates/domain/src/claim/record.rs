//! Claim records and the value of a shard.

use std::collections::BTreeMap;

use snafu::Snafu;

use super::key::IdempotencyKey;
use crate::prelude::*;

const FORMAT: u8 = 1;
/// Encoded size of a record: key, digest and nonce of 16 bytes each, holder index of 2, state of 1.
const RECORD_BYTES: usize = 51;

/// Digest over service, method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BodyDigest(pub u128);

/// Distinguishes successive claims of the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Nonce(pub u128);

/// A process that holds claims.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Name of the daemon.
    pub daemon: Arc<str>,
    /// Distinguishes processes that have used the same name.
    pub incarnation: Arc<str>,
}

/// Whether a claim permits its holder to dispatch the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The holder may have dispatched the request.
    Held,
    /// The holder did not dispatch the request and never will.
    Released,
}

/// A claim as encoded in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Process that holds the claim.
    pub holder: Holder,
    /// Digest of the request.
    pub digest: BodyDigest,
    /// Nonce of the claim.
    pub nonce: Nonce,
    /// Whether the claim permits a dispatch.
    pub state: RecordState,
}

/// A stored value cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("a stored claim value is malformed; delete its key once its bucket has expired"))]
pub struct MalformedValue;

/// Claims of one shard in one bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardValue {
    /// Records by key.
    pub records: BTreeMap<IdempotencyKey, Record>,
}

impl ShardValue {
    /// Returns an upper bound of the encoded size after adding `additional` records of one new
    /// holder.
    #[must_use]
    pub fn size_bytes(&self, additional: usize) -> usize {
        const HOLDERS_BYTES: usize = 8_192;
        HOLDERS_BYTES + (self.records.len() + additional) * RECORD_BYTES
    }

    /// Encodes the value as a table of holders followed by fixed-length records.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut holders: Vec<&Holder> = Vec::new();
        let mut records = Vec::with_capacity(self.records.len() * RECORD_BYTES);
        for (key, record) in &self.records {
            let known = holders.iter().position(|holder| **holder == record.holder);
            let index = known.unwrap_or_else(|| {
                holders.push(&record.holder);
                holders.len() - 1
            });
            records.extend(key.bits().to_be_bytes());
            records.extend(record.digest.0.to_be_bytes());
            records.extend(record.nonce.0.to_be_bytes());
            records.extend((index as u16).to_be_bytes());
            records.push(u8::from(record.state == RecordState::Released));
        }
        let mut value = vec![FORMAT];
        value.extend((holders.len() as u16).to_be_bytes());
        for holder in holders {
            write_text(&mut value, &holder.daemon);
            write_text(&mut value, &holder.incarnation);
        }
        value.extend(records);
        value
    }

    /// Decodes a value.
    ///
    /// # Errors
    ///
    /// Fails if the value is malformed.
    pub fn decode(value: &[u8]) -> Result<Self, MalformedValue> {
        let mut reader = Reader { rest: value };
        if reader.read_array::<1>()? != [FORMAT] {
            return Err(MalformedValue);
        }
        let count = u16::from_be_bytes(reader.read_array()?);
        let mut holders = Vec::new();
        for _ in 0..count {
            holders.push(Holder {
                daemon: reader.read_text()?,
                incarnation: reader.read_text()?,
            });
        }
        let mut records = BTreeMap::new();
        while !reader.rest.is_empty() {
            let (key, record) = reader.read_record(&holders)?;
            records.insert(key, record);
        }
        Ok(Self { records })
    }
}

fn write_text(value: &mut Vec<u8>, text: &str) {
    value.extend((text.len() as u16).to_be_bytes());
    value.extend(text.as_bytes());
}

/// Cursor over an encoded value.
struct Reader<'a> {
    rest: &'a [u8],
}

impl Reader<'_> {
    fn read_array<const N: usize>(&mut self) -> Result<[u8; N], MalformedValue> {
        let (taken, rest) = self.rest.split_first_chunk().ok_or(MalformedValue)?;
        self.rest = rest;
        Ok(*taken)
    }

    fn read_text(&mut self) -> Result<Arc<str>, MalformedValue> {
        let length = usize::from(u16::from_be_bytes(self.read_array()?));
        let (text, rest) = self.rest.split_at_checked(length).ok_or(MalformedValue)?;
        self.rest = rest;
        std::str::from_utf8(text)
            .map(Into::into)
            .map_err(|_| MalformedValue)
    }

    fn read_record(
        &mut self,
        holders: &[Holder],
    ) -> Result<(IdempotencyKey, Record), MalformedValue> {
        let key = IdempotencyKey::from_bits(u128::from_be_bytes(self.read_array()?));
        let digest = BodyDigest(u128::from_be_bytes(self.read_array()?));
        let nonce = Nonce(u128::from_be_bytes(self.read_array()?));
        let index = usize::from(u16::from_be_bytes(self.read_array()?));
        let state = match self.read_array::<1>()? {
            [0] => RecordState::Held,
            [1] => RecordState::Released,
            _ => return Err(MalformedValue),
        };
        let holder = holders.get(index).cloned().ok_or(MalformedValue)?;
        let record = Record {
            holder,
            digest,
            nonce,
            state,
        };
        Ok((key, record))
    }
}
