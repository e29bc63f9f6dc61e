#pragma once

namespace azurepaddle::http1 {

class Fields;
struct Request;
struct Response;
class RequestParser;
class ResponseParser;
class Exchange;
class Server;
class BodyBudget;
class ClientPool;
class ClientCall;
class EventStreamParser;

}
