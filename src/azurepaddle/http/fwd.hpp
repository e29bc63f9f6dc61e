#pragma once

namespace azurepaddle::http {

class BoundedTaskQueue;
class HttpServer;

}
