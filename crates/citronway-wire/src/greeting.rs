//! Proof of the greeting: both sides show that they know the shared key without
//! sending it.
//!
//! Each proof is an HMAC-SHA-256 over both nonces, the protocol version and who
//! the prover says it is. The direction is part of it, so that a proof cannot be
//! sent back to its author as the answer.

use citronway_core::gateway::crashes::FingerprintKey;
use citronway_core::ids::{Session, ZoneName};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use uuid::Uuid;

/// Protocol version that this instance speaks.
pub const PROTOCOL_VERSION: u32 = 1;
/// Oldest protocol version that this instance still understands.
pub const OLDEST_VERSION: u32 = 1;
/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 32;
/// Length of a proof in bytes.
pub const PROOF_BYTES: usize = 32;

/// Whether a peer of this protocol version is understood.
#[must_use]
pub const fn is_supported(version: u32) -> bool {
    OLDEST_VERSION <= version && version <= PROTOCOL_VERSION
}

/// A number used for one greeting only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Nonce([u8; NONCE_BYTES]);

impl Nonce {
    /// Draws a nonce from the system's random source (244 random bits).
    #[must_use]
    pub fn random() -> Self {
        let mut bytes = [0; NONCE_BYTES];
        let (first, second) = bytes.split_at_mut(NONCE_BYTES / 2);
        first.copy_from_slice(Uuid::new_v4().as_bytes());
        second.copy_from_slice(Uuid::new_v4().as_bytes());
        Self(bytes)
    }

    /// Takes the bytes of a message, or `None` if there are not [`NONCE_BYTES`].
    #[must_use]
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The bytes for a message.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; NONCE_BYTES] {
        &self.0
    }
}

/// Which side of a connection proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Prover {
    /// The side that connected.
    Connector,
    /// The side that listens.
    Listener,
}

impl Prover {
    const fn label(self) -> &'static [u8] {
        match self {
            Self::Connector => b"citronway connector",
            Self::Listener => b"citronway listener",
        }
    }
}

/// What a proof binds together.
#[derive(Debug, Clone, Copy)]
pub struct Claim<'a> {
    /// Side that proves.
    pub prover: Prover,
    /// Protocol version of the prover.
    pub version: u32,
    /// Who the prover says it is.
    pub session: &'a Session,
    /// Availability zone of the prover.
    pub zone: &'a ZoneName,
    /// Nonce drawn by the connecting side.
    pub connector_nonce: &'a Nonce,
    /// Nonce drawn by the listening side.
    pub listener_nonce: &'a Nonce,
}

impl Claim<'_> {
    /// Makes the proof with the shared key.
    #[must_use]
    pub fn prove(&self, key: &SharedKey) -> [u8; PROOF_BYTES] {
        self.mac(key).finalize().into_bytes().into()
    }

    /// Checks a proof; takes the same time whichever byte differs.
    #[must_use]
    pub fn is_proved_by(&self, key: &SharedKey, proof: &[u8]) -> bool {
        self.mac(key).verify_slice(proof).is_ok()
    }

    /// Each part goes in with its length, so that no two claims share their bytes.
    fn mac(&self, key: &SharedKey) -> Hmac<Sha256> {
        let mut mac = key.0.clone();
        for part in [
            self.prover.label(),
            &self.version.to_le_bytes(),
            self.session.instance.as_str().as_bytes(),
            &self.session.id.0.to_le_bytes(),
            self.zone.as_str().as_bytes(),
            self.connector_nonce.as_bytes(),
            self.listener_nonce.as_bytes(),
        ] {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac
    }
}

/// What the key for fingerprints is made of, besides the shared one.
const FINGERPRINTS: &[u8] = b"citronway fingerprints";

/// Length of the key for fingerprints, in bytes.
const FINGERPRINT_KEY_BYTES: usize = 16;

/// The key that all instances share. It shows up in no log.
#[derive(Clone)]
pub struct SharedKey(Hmac<Sha256>);

impl SharedKey {
    /// Takes the key as the settings give it.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes keys of any length.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self(Hmac::new_from_slice(key).expect("HMAC takes keys of any length"))
    }

    /// A key for fingerprints, from which this one cannot be found.
    #[must_use]
    pub fn for_fingerprints(&self) -> FingerprintKey {
        let mut mac = self.0.clone();
        mac.update(FINGERPRINTS);
        let made = mac.finalize().into_bytes();
        let mut key = [0; FINGERPRINT_KEY_BYTES];
        key.copy_from_slice(&made[..FINGERPRINT_KEY_BYTES]);
        FingerprintKey::new(key)
    }
}

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedKey")
    }
}

/// First message of the connecting side.
#[derive(Debug, Clone)]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u32,
    /// Who the sender says it is.
    pub session: Session,
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Nonce for the proof of the answer.
    pub nonce: Nonce,
    /// Proof of the sender.
    pub proof: Vec<u8>,
}

/// Answer of the listening side to a [`Hello`] that it accepts.
#[derive(Debug, Clone)]
pub struct Welcome {
    /// Who answers.
    pub session: Session,
    /// Availability zone of who answers.
    pub zone: ZoneName,
    /// Proof of who answers.
    pub proof: Vec<u8>,
}

/// Why a greeting was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RefusalReason {
    /// The other side speaks a protocol version that is not understood.
    #[error("unknown protocol version")]
    Version,
    /// The proof does not fit: the keys differ, or the message was changed.
    #[error("wrong proof, the shared keys differ")]
    Proof,
    /// The greeting answers no challenge of this connection.
    #[error("no challenge was asked for")]
    NotChallenged,
    /// The sender uses the name of the refusing instance.
    #[error("the instance's name is in use by the other side")]
    SameInstance,
}

/// A refused greeting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("greeting refused: {reason} (the refusing side has protocol version {version})")]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Protocol version of the refusing side.
    pub version: u32,
}

impl Hello {
    /// Greets as `session`, in answer to the challenge of the listening side.
    #[must_use]
    pub fn new(
        session: &Session,
        zone: &ZoneName,
        nonce: Nonce,
        challenge: &Nonce,
        key: &SharedKey,
    ) -> Self {
        let claim = Claim {
            prover: Prover::Connector,
            version: PROTOCOL_VERSION,
            session,
            zone,
            connector_nonce: &nonce,
            listener_nonce: challenge,
        };
        Self {
            version: PROTOCOL_VERSION,
            session: session.clone(),
            zone: zone.clone(),
            nonce,
            proof: claim.prove(key).to_vec(),
        }
    }

    /// Checks the greeting against the challenge given on this connection.
    ///
    /// # Errors
    ///
    /// The reason for the refusal.
    pub fn check(
        &self,
        me: &Session,
        challenge: Option<&Nonce>,
        key: &SharedKey,
    ) -> Result<(), RefusalReason> {
        if !is_supported(self.version) {
            return Err(RefusalReason::Version);
        }
        let Some(challenge) = challenge else {
            return Err(RefusalReason::NotChallenged);
        };
        let claim = Claim {
            prover: Prover::Connector,
            version: self.version,
            session: &self.session,
            zone: &self.zone,
            connector_nonce: &self.nonce,
            listener_nonce: challenge,
        };
        if !claim.is_proved_by(key, &self.proof) {
            return Err(RefusalReason::Proof);
        }
        if self.session.instance == me.instance {
            return Err(RefusalReason::SameInstance);
        }
        Ok(())
    }
}

impl Welcome {
    /// Answers a greeting as `session`.
    #[must_use]
    pub fn new(
        session: &Session,
        zone: &ZoneName,
        hello_nonce: &Nonce,
        challenge: &Nonce,
        key: &SharedKey,
    ) -> Self {
        let claim = Claim {
            prover: Prover::Listener,
            version: PROTOCOL_VERSION,
            session,
            zone,
            connector_nonce: hello_nonce,
            listener_nonce: challenge,
        };
        Self {
            session: session.clone(),
            zone: zone.clone(),
            proof: claim.prove(key).to_vec(),
        }
    }

    /// Whether the answering side has proved that it knows the key.
    #[must_use]
    pub fn is_proved(&self, hello_nonce: &Nonce, challenge: &Nonce, key: &SharedKey) -> bool {
        let claim = Claim {
            prover: Prover::Listener,
            version: PROTOCOL_VERSION,
            session: &self.session,
            zone: &self.zone,
            connector_nonce: hello_nonce,
            listener_nonce: challenge,
        };
        claim.is_proved_by(key, &self.proof)
    }
}
