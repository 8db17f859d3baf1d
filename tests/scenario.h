// The shared helper of the new tests: a small language of scenarios. A scenario starts the program, stands in
// for discovery, model replicas and clients on loopback, and speaks HTTP or KServe v2 over gRPC, whichever it
// is told to. One line, one step:
//
//   replica NAME BEHAVIOUR [N]   a model replica and what it does with each request:
//       stream N    N events, the answer whole       stall N   N events, then silence
//       break N     N events, then the connection ends
//       gated       an event now and then until 'release', then the answer is whole
//       flood N     as stream, with events of 16 KiB
//       trickle N   as stream, 25 ms between events, each in small pieces
//       hang        nothing            error    fails       full    turns away: it never ran
//       refuse      nobody listens     reject  cannot use the request
//       says BYTES  these to its first request over HTTP (\r, \n and _ for a space), then as stream 1
//       none        an answer without any event, whole
//       h2.KIND     as tests/h2_replica.h has them
//   list NAME=STATE ...          discovery's list: ready, draining or gone; further lines are changes;
//   heir@NAME:
//       another replica at NAME's address
//   discovery down | silent      no more connections | connections, but not a word
//   reload [bad]                 SIGHUP; discovery has moved to another address, or the file cannot be read
//   dns ZONE names [NAME[:PRIORITY[:WEIGHT]]]...    the records of _model._tcp.ZONE.test; each zone named
//   before
//       the start is a source beside the list; '.' for a target says: not offered
//   dns ZONE ttl N | glue off | many N | evil NAME | fault [KIND [N]]     as tests/dns_server.h has them; no
//   KIND: well again sources NAME ...             instead: just these (list, or a zone) rule TEXT | operator
//   TEXT | resolver TEXT into the operator's file, in its own form reload operator              SIGHUP, with
//   the operator's file as it would be written now quiet NAME                   40 requests, all served, none
//   by that replica busy NAME                    40 requests, all served, some by that replica pause MS
//   resolved WORDS               'flintglade resolve' prints a line that has all of these start [SOCKETS] the
//   program; the next step comes when it is ready replay N                     the program with a savefile of
//   N requests; the next step comes when it has ended recorded N                   the savefile that it wrote
//   holds N requests, each with a whole answer send ID [unary] [class=C] [tenant=T] [model=M] [expires=MS]
//   [body=BYTES] [path=P] [trace=ID|none] [shy] raw ID [BYTES]               an HTTP client that sends just
//   these, and is to hear within 4 s read ID                      a shy client, which has read nothing so
//   far, begins to close ID                     the client goes away expect ID served [N] | broken |
//   unavailable | late | failed | invalid | missing | large | slow | duplicate |
//       nothing
//   wait events ID N | calls NAME N | counter NAME N | least NAME N     until it is so
//   release NAME
//   cert NAME [ca=NAME] [san=DNS:x,URI:y] [from=S] [to=S] [key=NAME] [mode=OCTAL]    a certificate; without
//   ca an
//       authority; from and to in seconds from now. '@' in a kserve text is their folder; 'kserve anew TEXT'
//       forgets what was set before. 'send' and 'replica' take cert=NAME and trust=NAME
//   conformance router|REPLICA [CHECK]... [--OPTION=X]...     just these checks fail or are skipped
//   describes MODEL WORDS [VERSION]     until ModelMetadata has these words; or its status
//   rounds NAME N                N times: it comes, drains, and is not asked any more; b beside it serves
//   forget ID                    the client is gone, and its connection if it had one of its own ('send ID
//   own') start_fails WORDS            the program ends with status 1 and one plain line that has these words
//   logged WORD                  until its log has it
//   operators                    before the start: it listens for operators too
//   figure NAME VALUE            until /_vars has this line
//   call METHOD PATH STATUS      what operators get
//   callers N [BYTES]            operators' callers that send just these and stay
//   faults CALL N ERROR [NAME]   the next N calls of this kind fail; NAME: those to this replica.
//                                Kinds: tests/faults/control.h; 'short': one byte. 'wall 0' stands before the
//                                start where they come after it only
//   hit CALL N                   until so many have failed
//   wall SECONDS                 the program's wall clock is off by so much from now on
//   stop                         SIGTERM, and a clean exit
#pragma once

#include <string>

namespace flintglade::tests {

enum class Protocol { http, kserve };

// Runs it and gives an empty string, or the step that failed and why.
std::string run_scenario(const std::string& text, Protocol protocol, const std::string& program);

}  // namespace flintglade::tests
