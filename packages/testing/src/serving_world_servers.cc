// Backend servers of a serving world: plain services, model engines, and
// servers that make pieces in calls.
#include "serving_world_parts.h"

#include <algorithm>
#include <xxhash.h>

namespace jasminecroft::testing {

namespace {

using std::chrono::milliseconds;

constexpr core_duration ServerWay = milliseconds(1);
constexpr core_duration PlainTime = milliseconds(30);
constexpr core_duration HeadTime = milliseconds(60);
constexpr core_duration EventTime = milliseconds(20);
constexpr core_duration TokenTime = std::chrono::microseconds(80);
/// Calls that may wait at a server behind the one that it works on.
constexpr std::size_t CallsWaiting = 2;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusInputGone = 409;
constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusUnavailable = 503;

backend_reply_head signedHead() {
  backend_reply_head Head;
  Head.Status = StatusOk;
  Head.Evidence.Status = StatusOk;
  Head.Evidence.Subject = answer_subject::ThisRequest;
  Head.Evidence.Signed = true;
  return Head;
}

backend_reply_head refusalHead(unsigned Status) {
  backend_reply_head Head;
  Head.Status = Status;
  Head.Evidence.Status = Status;
  Head.Evidence.Subject = answer_subject::ThisRequest;
  Head.Evidence.Statement = not_run_statement::Plain;
  return Head;
}

// The answer to a request that was run, signed if it is sound; of some requests
// it says that they were not run.
backend_reply_head answerHeadTo(const caller_request_id &Id) {
  constexpr std::size_t Share = 36;
  backend_reply_head Head = signedHead();
  switch (XXH3_64bits(Id.Value.data(), Id.Value.size()) % Share) {
  case 0:
    Head.Status = StatusUnavailable;
    break;
  case 1:
    Head.Status = StatusUnavailable;
    Head.Evidence.Statement = not_run_statement::Plain;
    break;
  case 2:
    Head.Status = StatusMisdirected;
    break;
  case 3:
    Head = refusalHead(StatusMisdirected);
    Head.Evidence.Source = answer_source::ExpectedServer;
    break;
  default:
    break;
  }
  Head.Evidence.Status = Head.Status;
  return Head;
}

class plain_server final : public world_server {
public:
  using world_server::world_server;

  void forward(const world_link &Link, const forward_call &Call) override {
    World.book().onRun(Call.CallerId, Entry.Id, World.now());
    std::string Body = Call.CallerId.Value + "@" + Entry.Id.Value;
    backend_reply_head Head =
        World.isCalm() ? signedHead() : answerHeadTo(Call.CallerId);
    after(slowed(PlainTime), [this, Link, Head, Body] {
      answerHead(Link, true,
                 [Link, Head, Body](serving_core &Core, core_time Now) {
                   Core.onCompleteReply(Link.Call, Head, Body, Now);
                 });
    });
  }
};

class engine_server final : public world_server {
public:
  using world_server::world_server;

  void forward(const world_link &Link, const forward_call &Call) override {
    std::vector<serving_book::input> Inputs;
    for (const result_handle &Handle : Call.Inputs) {
      const serving_book::input *Input = World.resultFor(Handle, Entry.Zone);
      if (!Input) {
        refuseGone(Link);
        return;
      }
      Inputs.push_back(*Input);
    }
    World.book().onInputs(Call.CallerId, std::nullopt, Inputs, World.now());
    World.book().onRun(Call.CallerId, Entry.Id, World.now());
    World.book().onRanked(Call.CallerId, Call.Urgency, World.now());
    Streams.insert(Link);
    core_duration Head = HeadTime + readingTime(Call.CallerId);
    if (Head > HeadTime)
      World.book().onPromptRead(Call.CallerId, Entry.Id, slowed(Head),
                                World.now());
    bool Crashes = World.crashesEngines(Call.CallerId);
    if (Crashes)
      World.book().onCrashingSent(World.now());
    after(slowed(Head), [this, Link] {
      if (Streams.contains(Link))
        answerHead(Link, false, [Link](serving_core &Core, core_time Now) {
          Core.onStreamHead(Link.Call, signedHead(), Now);
        });
    });
    if (Crashes)
      crash(Link, Head);
    else
      send(Link, Call.ResumeAfter.value_or(0) + 1, Head + EventTime);
  }

  void cancel(const world_link &Link) override { Streams.erase(Link); }

private:
  void refuseGone(const world_link &Link) {
    backend_reply_head Head = refusalHead(StatusInputGone);
    answerHead(Link, true, [Link, Head](serving_core &Core, core_time Now) {
      Core.onCompleteReply(Link.Call, Head, "", Now);
    });
  }

  core_duration readingTime(const caller_request_id &Request) const {
    auto Found = World.book().requests().find(Request);
    return Found == World.book().requests().end()
               ? core_duration{0}
               : TokenTime * Found->second.PromptTokens;
  }

  void crash(const world_link &Link, core_duration Head) {
    after(slowed(Head) + EventTime, [this, Link] {
      if (!Streams.contains(Link))
        return;
      World.book().onPartCrash(World.now());
      World.crashServer(Entry.Id);
    });
  }

  void send(const world_link &Link, std::uint64_t Event, core_duration In) {
    after(slowed(In), [this, Link, Event] {
      if (!Streams.contains(Link))
        return;
      if (Event > serving_book::Events) {
        Streams.erase(Link);
        answer(Link, true, [Link](serving_core &Core, core_time Now) {
          Core.onStreamEnd(Link.Call, Now);
        });
        return;
      }
      answer(Link, false, [Link, Event](serving_core &Core, core_time Now) {
        Core.onStreamEvents(Link.Call, std::to_string(Event) + "\n", Event,
                            Event, Now);
      });
      send(Link, Event + 1, EventTime);
    });
  }

  std::set<world_link> Streams;
};

class stage_server final : public world_server {
public:
  stage_server(serving_world &World, backend_entry Entry,
               const batch_rules &Rules, std::uint32_t ErrorPermille)
      : world_server(World, std::move(Entry)), Rules(Rules),
        ErrorPermille(ErrorPermille) {}

  void runPieces(const world_link &Link,
                 const std::vector<batch_item> &Items) override {
    if (Items.size() > Rules.MaxPieces)
      World.book().add(promise::ResultsBelong, World.now(),
                       Entry.Id.Value + " is asked for too many pieces");
    if (Waiting.size() > CallsWaiting) {
      refuse(Link);
      return;
    }
    Waiting.push_back({Link, Items, World.now()});
    if (!Busy)
      begin();
  }

  void cancel(const world_link &Link) override {
    std::erase_if(Waiting,
                  [&Link](const call &Call) { return Call.Link == Link; });
  }

  void refuse(const world_link &Link) override {
    answerHead(Link, true, [Link](serving_core &Core, core_time Now) {
      Core.onPiecesRefused(Link.Call, false, Now);
    });
  }

  void freeResults(const std::vector<result_handle> &Handles) override {
    for (const result_handle &Handle : Handles)
      drop(Handle);
  }

  std::optional<pieces_load> load() const override {
    std::uint64_t Free =
        Rules.ResultCapacityBytes > Used ? Rules.ResultCapacityBytes - Used : 0;
    return pieces_load{Busy, static_cast<std::uint32_t>(Waiting.size()), Free};
  }

  const serving_book::input *
  result(const result_handle &Handle) const override {
    auto Found = Kept.find(Handle);
    return Found == Kept.end() ? nullptr : &Found->second.What;
  }

  std::uint64_t bytesKept() const override { return Used; }

private:
  struct call {
    world_link Link;
    std::vector<batch_item> Items;
    core_time Arrived;
  };
  struct kept {
    serving_book::input What;
    std::uint64_t Bytes = 0;
  };

  void begin() {
    if (Waiting.empty())
      return;
    Busy = true;
    call Call = std::move(Waiting.front());
    Waiting.pop_front();
    std::vector<batch_item_result> Results;
    for (const batch_item &Item : Call.Items)
      Results.push_back(make(Item, World.now() - Call.Arrived));
    core_duration Time =
        Rules.CallTime +
        Rules.PieceTime * static_cast<std::int64_t>(Call.Items.size());
    after(slowed(Time), [this, Link = Call.Link, Results] {
      Busy = false;
      for (const batch_item_result &Result : Results)
        if (Result.succeeded())
          after(Rules.ResultLifetime,
                [this, Handle = Result.Result] { drop(Handle); });
      answerHead(Link, true,
                 [Link, Results](serving_core &Core, core_time Now) {
                   Core.onPiecesAnswered(Link.Call, Results, std::nullopt, Now);
                 });
      begin();
    });
  }

  batch_item_result make(const batch_item &Item, core_duration Waited) {
    batch_item_result Result;
    if (Waited > Item.TimeLeft) {
      Result.Problem = batch_item_problem::Late;
      return Result;
    }
    std::vector<serving_book::input> Inputs;
    for (const result_handle &Handle : resultsOf(Item.Source)) {
      const serving_book::input *Input = World.resultFor(Handle, Entry.Zone);
      if (!Input) {
        Result.Problem = batch_item_problem::InputGone;
        return Result;
      }
      Inputs.push_back(*Input);
    }
    World.book().onInputs(Item.Request, Item.Stage, Inputs, World.now());
    std::uint64_t Bytes = World.resultBytes(Item.Request, Item.Stage);
    if (Used + Bytes > Rules.ResultCapacityBytes) {
      Result.Problem = batch_item_problem::NoCapacity;
      return Result;
    }
    if (World.random().chance(ErrorPermille)) {
      Result.Problem = batch_item_problem::Error;
      return Result;
    }
    Used += Bytes;
    Result.Result =
        result_handle(Entry.Address.Value + "/" + World.nextResult());
    Kept[Result.Result] = {{Item.Request, Item.Stage, Item.Piece}, Bytes};
    return Result;
  }

  void drop(const result_handle &Handle) {
    auto Found = Kept.find(Handle);
    if (Found == Kept.end())
      return;
    Used -= Found->second.Bytes;
    Kept.erase(Found);
  }

  batch_rules Rules;
  std::uint32_t ErrorPermille;
  bool Busy = false;
  std::deque<call> Waiting;
  std::map<result_handle, kept> Kept;
  std::uint64_t Used = 0;
};

} // namespace

core_duration world_server::slowed(core_duration Time) const {
  return core_duration(
      static_cast<std::int64_t>(static_cast<double>(Time.count()) * Slow));
}

// What a server that went down had begun comes to nothing.
void world_server::after(core_duration Time, std::function<void()> Action) {
  World.after(Time, [this, Alive = std::weak_ptr(Lifetime),
                     Action = std::move(Action)] {
    if (!Alive.expired() && Up)
      Action();
  });
}

void world_server::answer(
    const world_link &Link, bool Last,
    std::function<void(serving_core &, core_time)> Event) {
  after(ServerWay, [this, Link, Last, Event = std::move(Event)] {
    // What follows on a connection that lost something is lost as well.
    if (SilentUntil > World.now() || !World.reaches(Entry.Zone, Link.Host))
      Lost.insert(Link);
    if (Lost.contains(Link))
      return;
    World.answerHost(Link.Host, Link.Run, Link.Call, Last, Event);
  });
}

void world_server::answerHead(
    const world_link &Link, bool Last,
    std::function<void(serving_core &, core_time)> Event) {
  stated_limit Stated{Limit};
  answer(Link, Last,
         [this, Link, Stated, Says = SaysLeaving,
          Event = std::move(Event)](serving_core &Core, core_time Now) {
           if (Says) {
             World.book().onLeavingTold(Entry.Id, Link.Host, Now);
             Core.onServerLeaving(Entry, Now);
           }
           if (Stated.PerSecond)
             World.book().onLimitTold(Entry.Id, Link.Host, Now);
           Core.onStatedLimit(Link.Call, Stated, Now);
           if (Now < ColdUntil) {
             World.book().onColdTold(Entry.Id, Link.Host, Now);
             Core.onServerCold(Entry, ColdUntil - Now, Now);
           }
           Event(Core, Now);
         });
}

void world_server::refuse(const world_link &Link) {
  backend_reply_head Head = refusalHead(StatusUnavailable);
  answerHead(Link, true, [Link, Head](serving_core &Core, core_time Now) {
    Core.onCompleteReply(Link.Call, Head, "", Now);
  });
}

void world_server::turnAway(const world_link &Link) {
  core_time Until = RefusesUntil;
  answer(Link, false, [this, Link, Until](serving_core &Core, core_time Now) {
    World.book().onPauseTold(Entry.Id, Link.Host, Until, Now);
    Core.onServerPause(Entry, {Until - Now}, Now);
  });
  refuse(Link);
}

std::unique_ptr<world_server> makeWorldServer(serving_world &World,
                                              const backend_entry &Entry,
                                              const batch_rules &Rules,
                                              std::uint32_t ErrorPermille) {
  if (Entry.Pool == pool_id("plain"))
    return std::make_unique<plain_server>(World, Entry);
  if (Entry.Pool == pool_id("engine"))
    return std::make_unique<engine_server>(World, Entry);
  return std::make_unique<stage_server>(World, Entry, Rules, ErrorPermille);
}

} // namespace jasminecroft::testing
