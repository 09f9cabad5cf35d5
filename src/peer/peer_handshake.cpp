#include "peer/peer_handshake.h"

#include "peer/cbor_document.h"
#include "peer/peer_codec.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <optional>
#include <utility>

namespace Tanagertally {

namespace {

using Json = nlohmann::json;
namespace Msm = boost::msm::front;

constexpr std::string_view Magic = "tanagertally";
constexpr std::string_view ProofContext = "tanagertally-peer-proof";
constexpr std::size_t NonceBytes = 32;
constexpr std::size_t MinGreetingFields = 4;

using Bytes = std::vector<std::uint8_t>;

/** Computes the HMAC-SHA256 of a text. */
Bytes hmacSha256(std::string_view key, const std::string &text)
{
    Bytes digest(EVP_MAX_MD_SIZE);
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), asBytes(text).data(), text.size(), digest.data(), &length);
    digest.resize(length);
    return digest;
}

/** Appends a string with a 4-byte little-endian length prefix, so that different lists of strings never encode to the same bytes. */
void appendLengthPrefixed(std::string &text, const std::string &bytes)
{
    constexpr std::size_t LengthBytes = 4;
    for (std::size_t index = 0; index < LengthBytes; ++index) {
        text += static_cast<char>((bytes.size() >> (8 * index)) & 0xffU);
    }
    text += bytes;
}

/** A decoded greeting. */
struct Greeting {
    std::uint64_t protocol = 0; ///< Protocol version of the sender.
    Bytes nonce; ///< Random bytes of the sender.
    InstanceIdentity identity; ///< Identity claimed by the sender.
};

/** Decodes a greeting. Of a greeting with another protocol version only `protocol` is set, because its other fields may differ. */
std::optional<Greeting> readGreeting(const Json &array)
{
    if (array.size() < MinGreetingFields || array[0] != Magic || !array[1].is_number_unsigned()) {
        return std::nullopt;
    }
    Greeting greeting;
    greeting.protocol = array[1].get<std::uint64_t>();
    if (greeting.protocol != PeerProtocolVersion) {
        return greeting;
    }
    if (!array[2].is_binary() || !array[3].is_binary()) {
        return std::nullopt;
    }
    greeting.nonce = array[2].get_binary();
    const auto message = decodePeerMessage(array[3].get_binary());
    if (message.has_error() || greeting.nonce.size() != NonceBytes) {
        return std::nullopt;
    }
    const auto *hello = std::get_if<Hello>(&message.value());
    if (hello == nullptr || hello->identity.name.empty()) {
        return std::nullopt;
    }
    greeting.identity = hello->identity;
    return greeting;
}

// Events of the state machine.
struct GreetingReceived {
    Greeting greeting;
    std::string bytes; ///< Encoded greeting as received.
};
struct ProofReceived {
    Bytes proof; ///< HMAC sent by the peer.
};

/** State machine of a handshake (Boost.MSM). */
struct HandshakeMachine_ : Msm::state_machine_def<HandshakeMachine_> {
    struct AwaitingGreeting : Msm::state<> {
    };
    struct AwaitingProof : Msm::state<> {
    };
    struct Authenticated : Msm::state<> {
    };
    struct Refused : Msm::state<> {
    };
    using initial_state = AwaitingGreeting; // NOLINT(readability-identifier-naming)

    InstanceIdentity own; ///< Identity of this instance.
    std::string sharedKey; ///< Secret shared by all entry instances.
    ConnectionSide side = ConnectionSide::Connector; ///< Whether this instance opened or accepted the connection.
    std::string ownGreeting; ///< Encoded greeting of this instance.
    std::string peerGreeting; ///< Encoded greeting of the peer, once received.
    InstanceIdentity peer; ///< Identity claimed by the peer, once its greeting was accepted.
    HandshakeStep step = HandshakeRefusal::Malformed; ///< Result of the last event.

    /** Computes the proof of one side: an HMAC over both greetings, marked with the side so that a proof can't be reflected. */
    Bytes computeProof(ConnectionSide prover) const
    {
        const bool isConnector = this->side == ConnectionSide::Connector;
        std::string text(ProofContext);
        text += prover == ConnectionSide::Connector ? 'c' : 'a';
        appendLengthPrefixed(text, isConnector ? this->ownGreeting : this->peerGreeting);
        appendLengthPrefixed(text, isConnector ? this->peerGreeting : this->ownGreeting);
        return hmacSha256(this->sharedKey, text);
    }

    ConnectionSide peerSide() const
    {
        return this->side == ConnectionSide::Connector ? ConnectionSide::Acceptor : ConnectionSide::Connector;
    }

    // Guards.
    struct HasOtherVersion {
        template<typename Event, typename Machine, typename From, typename To>
        bool operator()(const Event &event, Machine & /*machine*/, From & /*from*/, To & /*to*/) const
        {
            return event.greeting.protocol != PeerProtocolVersion;
        }
    };
    struct IsOwnProcess {
        template<typename Event, typename Machine, typename From, typename To>
        bool operator()(const Event &event, Machine &machine, From & /*from*/, To & /*to*/) const
        {
            const InstanceIdentity &identity = event.greeting.identity;
            return identity.name == machine.own.name && identity.incarnation == machine.own.incarnation;
        }
    };
    struct IsProofValid {
        template<typename Event, typename Machine, typename From, typename To>
        bool operator()(const Event &event, Machine &machine, From & /*from*/, To & /*to*/) const
        {
            const Bytes expected = machine.computeProof(machine.peerSide());
            return event.proof.size() == expected.size() && CRYPTO_memcmp(event.proof.data(), expected.data(), expected.size()) == 0;
        }
    };

    // Actions.
    struct AnswerGreeting {
        template<typename Event, typename Machine, typename From, typename To>
        void operator()(const Event &event, Machine &machine, From & /*from*/, To & /*to*/) const
        {
            machine.peer = event.greeting.identity;
            machine.peerGreeting = event.bytes;
            machine.step = SendProof{writeCbor(Json::array({Json::binary(machine.computeProof(machine.side))}))};
        }
    };
    struct CompleteHandshake {
        template<typename Event, typename Machine, typename From, typename To>
        void operator()(const Event & /*event*/, Machine &machine, From & /*from*/, To & /*to*/) const
        {
            machine.step = HandshakeDone{};
        }
    };
    template<HandshakeRefusal Reason>
    struct Refuse {
        template<typename Event, typename Machine, typename From, typename To>
        void operator()(const Event & /*event*/, Machine &machine, From & /*from*/, To & /*to*/) const
        {
            machine.step = Reason;
        }
    };

    // Boost.MSM evaluates the rows of one state and event from the bottom up and takes the first whose guard holds.
    // clang-format off
    using transition_table = boost::mpl::vector< // NOLINT(readability-identifier-naming)
        //       from              event             to             action                                  guard
        Msm::Row<AwaitingGreeting, GreetingReceived, AwaitingProof, AnswerGreeting,                         Msm::none>,
        Msm::Row<AwaitingGreeting, GreetingReceived, Refused,       Refuse<HandshakeRefusal::OwnProcess>,   IsOwnProcess>,
        Msm::Row<AwaitingGreeting, GreetingReceived, Refused,       Refuse<HandshakeRefusal::WrongVersion>, HasOtherVersion>,
        Msm::Row<AwaitingGreeting, ProofReceived,    Refused,       Refuse<HandshakeRefusal::Malformed>,    Msm::none>,
        Msm::Row<AwaitingProof,    GreetingReceived, Refused,       Refuse<HandshakeRefusal::Malformed>,    Msm::none>,
        Msm::Row<AwaitingProof,    ProofReceived,    Refused,       Refuse<HandshakeRefusal::WrongKey>,     Msm::none>,
        Msm::Row<AwaitingProof,    ProofReceived,    Authenticated, CompleteHandshake,                                 IsProofValid>
    >;
    // clang-format on

    template<typename Event, typename Machine>
    void no_transition(const Event & /*event*/, Machine &machine, int /*state*/)
    {
        machine.step = HandshakeRefusal::Malformed;
    }
};

using HandshakeMachine = boost::msm::back::state_machine<HandshakeMachine_>;

/** Encodes the greeting of this instance with a fresh nonce. */
Result<std::string> makeGreeting(const InstanceIdentity &own)
{
    Bytes nonce(NonceBytes);
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
        return makeError(ErrorCode::Internal, "no random bytes for the nonce of the peer handshake");
    }
    const std::string hello = encodePeerMessage(Hello{PeerProtocolVersion, own});
    const auto helloBytes = asBytes(hello);
    return writeCbor(Json::array(
        {Magic, PeerProtocolVersion, Json::binary(std::move(nonce)), Json::binary(Bytes(helloBytes.begin(), helloBytes.end()))}));
}

} // namespace

struct PeerHandshake::Impl {
    HandshakeMachine machine;
};

PeerHandshake::PeerHandshake(std::unique_ptr<Impl> implementation)
    : impl(std::move(implementation))
{
}

PeerHandshake::~PeerHandshake() = default;

Result<std::unique_ptr<PeerHandshake>> PeerHandshake::create(const InstanceIdentity &own, std::string_view sharedKey, ConnectionSide side)
{
    auto greeting = makeGreeting(own);
    if (greeting.has_error()) {
        return std::move(greeting.error());
    }
    auto implementation = std::make_unique<Impl>();
    implementation->machine.own = own;
    implementation->machine.sharedKey = sharedKey;
    implementation->machine.side = side;
    implementation->machine.ownGreeting = std::move(greeting.value());
    implementation->machine.start();
    return std::unique_ptr<PeerHandshake>(new PeerHandshake(std::move(implementation)));
}

const std::string &PeerHandshake::greeting() const
{
    return this->impl->machine.ownGreeting;
}

HandshakeStep PeerHandshake::receive(const std::string &bytes)
{
    const auto document = readCborArray(asBytes(bytes));
    if (document.has_error() || document.value().empty()) {
        return HandshakeRefusal::Malformed;
    }
    const Json &array = document.value();
    if (array[0].is_binary()) {
        this->impl->machine.process_event(ProofReceived{array[0].get_binary()});
        return this->impl->machine.step;
    }
    auto greeting = readGreeting(array);
    if (!greeting) {
        return HandshakeRefusal::Malformed;
    }
    this->impl->machine.process_event(GreetingReceived{std::move(*greeting), bytes});
    return this->impl->machine.step;
}

const InstanceIdentity &PeerHandshake::peer() const
{
    return this->impl->machine.peer;
}

} // namespace Tanagertally
