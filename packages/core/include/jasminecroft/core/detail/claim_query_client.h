// Asks the entry hosts that hold claims what became of them. A restart loses
// the questions; the requests that waited for them are lost with it.
#pragma once

#include "jasminecroft/core/detail/core_context.h"
#include "jasminecroft/core/detail/membership.h"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace jasminecroft::detail {

/// Number of a claim wanted by this run.
using claim_handle = strong_number<struct claim_handle_tag>;

inline constexpr core_duration InquiryResendInterval{150'000};
inline constexpr core_duration InquiryPatienceAlive{600'000};
/// Patience with a holder that membership doesn't believe to be alive.
inline constexpr core_duration InquiryPatienceDoubtful{200'000};

/// What the holder says.
struct holder_says {
  claim_answer Answer = claim_answer::NotMine;
  std::optional<std::string> Output;
};
/// The run that made the claim has ended; nobody can say what it did.
struct holder_gone {};
/// No answer came in time.
struct holder_silent {};
using inquiry_result = std::variant<holder_says, holder_gone, holder_silent>;

class inquiry_listener {
public:
  virtual ~inquiry_listener() = default;
  virtual void onInquiryResult(claim_handle Claim,
                               const inquiry_result &Result) = 0;
};

class claim_inquiry {
public:
  claim_inquiry(core_context &Context, const membership &Members,
                inquiry_listener &Listener)
      : Context(Context), Members(Members), Listener(Listener) {}

  /// Asks about the attempt that Record holds. The result comes later and
  /// exactly once, unless the question is cancelled; a result that is known at
  /// once is returned and nothing follows.
  std::optional<inquiry_result> ask(claim_handle Claim,
                                    const claim_record &Record);
  void cancel(claim_handle Claim) { Questions.erase(Claim); }

  /// Handles claim_query_reply.
  void onPeer(const peer_message &Message);
  void onWakeup();
  std::optional<core_time> nextWakeup() const;

private:
  struct question {
    claim_query Query;
    host_run Holder;
    core_time ResendAt{};
    core_time GiveUpAt{};
  };

  void send(question &Question);
  void resolve(claim_handle Claim, const inquiry_result &Result);

  core_context &Context;
  const membership &Members;
  inquiry_listener &Listener;
  std::uint64_t LastSequence = 0;
  std::map<claim_handle, question> Questions;
};

} // namespace jasminecroft::detail
