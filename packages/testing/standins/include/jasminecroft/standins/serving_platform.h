// Stand-in of the users' platform, in a small form: its store with objects,
// lists and watches, and backend servers that run requests, pieces of stages
// and streams. All of it runs on one io_context thread.
#pragma once

#include "jasminecroft/standins/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jasminecroft::standins {

using exchange_ptr = std::shared_ptr<http_exchange>;

/// Objects by kind and name under one counter of revisions.
class users_store {
  struct change {
    std::uint64_t Revision = 0;
    std::string Kind;
    boost::json::value Event;
  };
  struct contents {
    std::map<std::string, std::map<std::string, boost::json::value>> Kinds;
    std::vector<change> Changes;
    std::uint64_t Revision = 1;
  };

public:
  /// What the store holds at one moment.
  class store_copy {
    friend class users_store;
    contents Held;
  };

  users_store(boost::asio::io_context &Context, std::string_view Address);

  std::uint16_t port() const { return Server->port(); }
  /// Writes an object as the operator or a backend server does.
  void put(const std::string &Kind, const std::string &Name,
           boost::json::value Spec);
  /// The same with any bytes as the spec, JSON or not.
  void putText(const std::string &Kind, const std::string &Name,
               std::string SpecText);
  void remove(const std::string &Kind, const std::string &Name);
  bool has(const std::string &Kind, const std::string &Name) const;
  std::uint64_t revision() const { return Held.Revision; }
  store_copy copy() const;
  /// Comes back from a copy: what was written since is gone, waiting watches
  /// are cut off, and a later era begins.
  void restore(const store_copy &Copy);
  std::size_t calls() const { return Calls; }
  /// Calls for objects of one kind.
  std::size_t calls(const std::string &Kind) const;

private:
  struct waiting_watch {
    std::string Kind;
    std::uint64_t Since = 0;
    exchange_ptr Exchange;
    std::shared_ptr<boost::asio::steady_timer> Timer;
  };

  void onRequest(const exchange_ptr &Exchange);
  void write(const exchange_ptr &Exchange, const std::string &Kind,
             std::string Name);
  void list(const exchange_ptr &Exchange, const std::string &Kind);
  void watch(const exchange_ptr &Exchange, const std::string &Kind,
             std::uint64_t Since, std::int64_t WaitMs);
  bool answerWatch(const waiting_watch &Watch, bool Ended);
  void answer(const exchange_ptr &Exchange, int Status,
              const boost::json::value &Body) const;
  void record(const std::string &Kind, boost::json::value Object, bool Gone);
  std::string serialize(const boost::json::value &Value) const;

  boost::asio::io_context &Context;
  contents Held;
  std::uint64_t Era = 1;
  std::list<waiting_watch> Watches;
  /// By the text that stands for them in objects.
  std::map<std::string, std::string> RawSpecs;
  std::size_t Calls = 0;
  std::map<std::string, std::size_t> CallsByKind;
  std::unique_ptr<http_server> Server;
};

/// What a backend server does with one request or call for pieces.
enum class backend_act {
  Run,
  /// States that it has not run it: 503, naming the request or not, or 429.
  Refuse,
  RefuseUnnamed,
  RefuseTooMany,
  /// The same, and asks for a pause; naming the request or not.
  RefuseWithPause,
  RefuseNamedWithPause,
  /// Runs it and states a limit.
  RunAndStateLimit,
  /// Runs it and then answers, with its signature, 500, 503, 429 or 408.
  RunAndFail,
  RunAndAnswerBusy,
  RunAndAnswerTooMany,
  RunAndAnswerTimeout,
  /// Runs it and answers 503 without its signature.
  RunAndAnswerUnsigned,
  /// Runs it, answers, and writes the answer once more where the next one on
  /// the connection is due (not of streams); the same of a refusal, named or
  /// not.
  RunAndRepeat,
  RefuseAndRepeat,
  RefuseUnnamedAndRepeat,
  /// Closes the connection, before or after it has run it.
  Close,
  RunAndClose,
  /// Runs it and ends in the middle of the answer's head or body.
  RunAndCutHead,
  RunAndCutBody,
  /// Runs it and never answers.
  RunAndHang,
  /// States that a result that it needs is gone: 409, not run.
  RefuseInputsGone,
  /// Runs it, and the answer says that it was not run and contradicts that:
  /// 421 with the signature, with the id of the server that was asked for, the
  /// same with the statement, or with nothing else.
  RunAndMisdirectSigned,
  RunAndMisdirectAsExpected,
  RunAndMisdirectStatedAsExpected,
  RunAndMisdirectBarely,
  /// The statement with the signature, on 500, on 504, without a value, twice,
  /// and in an answer that names two requests.
  RunAndStateSigned,
  RunAndStateOnError,
  RunAndStateOnTimeout,
  RunAndStateNothing,
  RunAndStateTwice,
  RunAndStateForTwo,
  /// The statement after an interim answer with the signature, and without a
  /// name behind an answer to another request.
  RunAndStateAfterInterim,
  RunAndStateBehindOther,
  /// Of calls for pieces: one of them fails for this reason.
  PieceLate,
  PieceGone,
  PieceNoRoom,
  PieceError,
};

/// What a backend server of the users does with requests.
struct users_backend_options {
  std::string Id;
  /// Time of a plain request, or of a call for pieces.
  std::chrono::milliseconds Work{5};
  /// Events of a stream.
  unsigned Events = 3;
  /// A stream is cut after this event; 0: never.
  unsigned CutAfter = 0;
  /// Refuses every request as not run.
  bool Full = false;
  /// Requests that run at the same time, and that may wait; 0 slots: no bound.
  std::size_t Slots = 0;
  std::size_t Queue = 0;
  /// Every so many streams one is interrupted for a while; 0: none.
  std::size_t PreemptEvery = 0;
  /// Chooses what is done with each request; absent: all are run.
  std::function<backend_act()> Act = nullptr;
};

/// A backend server: plain requests, pieces of stages, and streams, which need
/// the inputs of their request.
class users_backend {
public:
  users_backend(boost::asio::io_context &Context, std::string_view Address,
                users_backend_options Options);

  std::uint16_t port() const { return Server->port(); }
  /// Ids of the requests that it ran, in order.
  const std::vector<std::string> &ran() const { return Ran; }
  /// Pieces made, as "request.stage.piece".
  const std::vector<std::string> &made() const { return Made; }
  /// Workspace names that came with requests.
  const std::set<std::string> &workspaces() const { return Workspaces; }
  std::size_t pieceCalls() const { return PieceCalls; }
  bool sawForbiddenHeader() const { return Forbidden; }
  /// From now on all its answers say that it leaves.
  void leave() { Leaves = true; }

private:
  struct waiting_request {
    exchange_ptr Exchange;
    backend_act Act = backend_act::Run;
    std::chrono::steady_clock::time_point Expires;
  };

  void onRequest(const exchange_ptr &Exchange);
  /// Headers that its answers have whatever they are.
  std::string ownHeaders() const;
  void admit(const waiting_request &Request);
  void run(const exchange_ptr &Exchange, backend_act Act);
  void endRun();
  void refuseNamed(const exchange_ptr &Exchange, int Status);
  void sendEvent(const exchange_ptr &Exchange, unsigned Event,
                 const std::string &Inputs);
  bool refuse(const exchange_ptr &Exchange, backend_act Act);
  void failAfterRun(const exchange_ptr &Exchange, backend_act Act,
                    const std::string &Headers, const std::string &Body);
  void repeat(const exchange_ptr &Exchange, std::string Answer);
  void makePieces(const exchange_ptr &Exchange);
  void runRequest(const exchange_ptr &Exchange);
  void stream(const exchange_ptr &Exchange, const std::string &Headers);
  void later(std::function<void()> Action);

  boost::asio::io_context &Context;
  users_backend_options Options;
  std::vector<std::string> Ran;
  std::vector<std::string> Made;
  std::set<std::string> Workspaces;
  std::size_t PieceCalls = 0;
  bool Forbidden = false;
  bool Leaves = false;
  std::size_t Active = 0;
  std::size_t Streams = 0;
  std::deque<waiting_request> Waiting;
  /// Answers that are written once more, by connection.
  std::map<std::uint64_t, std::string> Repeated;
  std::unique_ptr<http_server> Server;
};

} // namespace jasminecroft::standins
